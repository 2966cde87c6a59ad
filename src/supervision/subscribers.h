#pragma once

#include <caf/actor.hpp>
#include <caf/actor_addr.hpp>

#include <algorithm>
#include <vector>

namespace shallotwalk {

/// Actors that subscribed to the messages of another one. The child specification of a supervised
/// publisher holds it, so that subscriptions survive a restart of the publisher; only the running
/// publisher uses it, and it monitors the subscribers again when it starts. Not thread-safe.
class Subscribers
{
public:
    /// Adds a subscriber once; returns false if it was there already.
    bool add(const caf::actor &subscriber)
    {
        const bool known = std::find(actors_.begin(), actors_.end(), subscriber) != actors_.end();
        if (!known)
            actors_.push_back(subscriber);
        return !known;
    }

    void remove(const caf::actor_addr &subscriber)
    {
        std::erase_if(actors_, [&](const auto &one) { return one.address() == subscriber; });
    }

    bool empty() const { return actors_.empty(); }
    std::size_t size() const { return actors_.size(); }
    auto begin() const { return actors_.begin(); }
    auto end() const { return actors_.end(); }

private:
    std::vector<caf::actor> actors_;
};

} // namespace shallotwalk
