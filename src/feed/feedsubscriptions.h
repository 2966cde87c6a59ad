#pragma once

#include "supervision/subscribers.h"

#include <map>
#include <string>

namespace shallotwalk {

/// Who gets what from the feed.
struct FeedSubscriptions
{
    std::map<std::string, Subscribers, std::less<>> prefixes;
    Subscribers vmList;

    /// Removes an actor from all lists.
    void remove(const caf::actor_addr &subscriber)
    {
        for (auto &[prefix, subscribers] : prefixes)
            subscribers.remove(subscriber);
        vmList.remove(subscriber);
    }
};

} // namespace shallotwalk
