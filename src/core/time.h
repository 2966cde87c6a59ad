#pragma once

#include <chrono>

namespace shallotwalk {

/// Clock tag for time points of a clock that counts suspended time (CLOCK_BOOTTIME).
/// It has no now(): decisions take the time as an argument.
struct BootTime
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootTime>;
    static constexpr bool is_steady = true;
};

using Duration = BootTime::duration;
using TimePoint = BootTime::time_point;

} // namespace shallotwalk
