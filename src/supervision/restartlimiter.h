#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace shallotwalk {

/// How often a supervisor restarts its children before it gives up.
struct RestartRule
{
    std::size_t limit = 5; ///< Restarts within the window.
    Duration window{std::chrono::seconds(30)};
    Duration firstDelay{std::chrono::milliseconds(100)};
    Duration longestDelay{std::chrono::seconds(5)};
};

/// Counts restarts within a sliding window and spaces them out exponentially. Not thread-safe.
class RestartLimiter
{
public:
    explicit RestartLimiter(const RestartRule &rule);

    /// Records a failure. Returns the delay before the restart, or nothing when the limit is
    /// reached and the supervisor must fail itself.
    std::optional<Duration> recordFailure(TimePoint now);

private:
    RestartRule rule_;
    std::deque<TimePoint> failures_;
};

} // namespace shallotwalk
