#pragma once

#include "core/time.h"

#include <array>
#include <cstddef>

namespace shallotwalk {

/// Durations of the last requests of a route; older ones are forgotten, so that estimates follow a
/// change of the load. Not thread-safe.
class ServiceTimes
{
public:
    /// Adds the duration of a request, in O(1) on average.
    void record(Duration duration);

    /// Whether nothing was recorded yet; the estimates below are then zero.
    bool empty() const { return count_ == 0; }

    Duration mean() const;

    /// Half of the requests took at most this long.
    Duration median() const { return median_; }

    /// Nine in ten requests took at most this long.
    Duration p90() const { return p90_; }

private:
    static constexpr std::size_t window = 64;
    // Sorting the window for each request would cost more than the rest of a decision.
    static constexpr std::size_t updateInterval = 8;

    void updateQuantiles();

    std::array<Duration, window> samples_{};
    std::size_t count_ = 0; ///< Samples in the window.
    std::size_t next_ = 0;  ///< Place of the next sample.
    Duration sum_{0};
    Duration median_{0};
    Duration p90_{0};
};

} // namespace shallotwalk
