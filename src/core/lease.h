#pragma once

#include "core/promise.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Answers of candidates to one proxy's requests, each of which holds for a limited time: the
/// promises under one epoch, or the answers to queries before a takeover. The time counts from the
/// sending of the request and is shortened by the margin for clock rates. Not thread-safe.
class Lease
{
public:
    /// \a promise is the time for which an answer holds; \a marginPercent of it is not used.
    Lease(Duration promise, int marginPercent);

    /// Forgets answers and requests, at a change of epoch.
    void reset();

    /// Notes a request to \a vm at \a now. Precondition: \a sequence has not been used before.
    void sent(const std::string &vm, std::uint64_t sequence, TimePoint now);

    /// Takes a granted reply into account. A reply that matches no request has no effect.
    void granted(const PromiseReply &reply);

    /// Time until which a majority of \a candidates has granted. An empty list has no majority.
    TimePoint end(std::span<const std::string> candidates) const;

private:
    struct Request
    {
        std::string vm;
        TimePoint sentAt;
    };

    Duration usable_;
    std::map<std::uint64_t, Request> requests_;
    std::map<std::string, TimePoint, std::less<>> until_;
};

} // namespace shallotwalk
