#pragma once

#include "core/time.h"

#include <cstddef>

namespace shallotwalk {

/// Times of a WatchPacer.
struct WatchPacerSettings
{
    /// Minimum time between the starts of two watches. Short against the time to replace a primary.
    Duration minInterval{std::chrono::milliseconds(50)};
    /// Time between two watches for each proxy of the fleet, once the burst is used up.
    Duration intervalPerProxy{std::chrono::milliseconds(5)};
    /// Bound on that time, so that a change is known soon against the limits for configurations.
    Duration maxInterval{std::chrono::milliseconds(500)};
    /// Answers with changes that are taken at the shortest interval. A replacement of a primary
    /// causes about five: suspicions, the record of the order, and the changes of role.
    double burst = 6;
    /// Time after which one more such answer is allowed.
    Duration refill{std::chrono::milliseconds(2000)};
    /// Delay before a failed call is repeated. It doubles with each failure in a row, up to
    /// retryDelayPerProxy times the number of proxies, at most longestRetryDelay.
    Duration retryDelay{std::chrono::milliseconds(250)};
    Duration retryDelayPerProxy{std::chrono::milliseconds(12)};
    Duration longestRetryDelay{std::chrono::milliseconds(1000)};
};

/// Spaces the watches of the store. Each change ends a watch of every proxy, so changes in quick
/// succession cost the store a call for each change and proxy, unless a watch covers several of
/// them. It answers the load of a large fleet when many servers or proxies start or stop one after
/// the other; a few changes are taken without delay. During an outage of the store the calls of
/// a large fleet are repeated less often. Not thread-safe.
class WatchPacer
{
public:
    explicit WatchPacer(const WatchPacerSettings &settings = {});

    /// Sets the number of proxies of the fleet.
    void setProxies(std::size_t proxies) { proxies_ = proxies; }

    /// Records that a call has succeeded.
    void succeeded() { failures_ = 0; }

    /// Records that a call has failed. Returns the delay before it is repeated.
    Duration failed();

    /// Records that a watch that was started at \a startedAt has brought changes. Returns the time
    /// at which the next watch is to start, at the earliest \a now.
    TimePoint changed(TimePoint startedAt, TimePoint now);

private:
    WatchPacerSettings settings_;
    std::size_t proxies_ = 1;
    unsigned failures_ = 0; ///< Failed calls in a row.
    double allowance_;      ///< Answers that may still be taken at the shortest interval.
    TimePoint refilledAt_;  ///< When the allowance was last increased.
};

} // namespace shallotwalk
