#include "wire/clock.h"

#include <ctime>

namespace shallotwalk {

TimePoint BootClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(
        std::chrono::seconds(time.tv_sec)
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace shallotwalk
