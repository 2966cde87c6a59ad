#include "core/store/watchpacer.h"

#include <algorithm>

namespace shallotwalk {

WatchPacer::WatchPacer(const WatchPacerSettings &settings)
    : settings_(settings)
    , allowance_(settings.burst)
{
}

Duration WatchPacer::failed()
{
    constexpr unsigned maxDoublings = 4;
    const auto longest = std::clamp<Duration>(settings_.retryDelayPerProxy * proxies_,
                                              settings_.retryDelay, settings_.longestRetryDelay);
    const auto delay = settings_.retryDelay * (1U << std::min(failures_++, maxDoublings));
    return std::min<Duration>(delay, longest);
}

TimePoint WatchPacer::changed(TimePoint startedAt, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    const std::chrono::duration<double> refill = settings_.refill;
    allowance_ = std::min(settings_.burst, allowance_ + elapsed / refill);
    refilledAt_ = now;
    auto interval = settings_.minInterval;
    if (allowance_ >= 1) {
        allowance_ -= 1;
    } else {
        interval = std::clamp<Duration>(settings_.intervalPerProxy * proxies_, interval,
                                        settings_.maxInterval);
    }
    return std::max(now, startedAt + interval);
}

} // namespace shallotwalk
