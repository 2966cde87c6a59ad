#include "supervision/restartlimiter.h"

#include <algorithm>

namespace shallotwalk {

RestartLimiter::RestartLimiter(const RestartRule &rule)
    : rule_(rule)
{
}

std::optional<Duration> RestartLimiter::recordFailure(TimePoint now)
{
    while (!failures_.empty() && now - failures_.front() >= rule_.window)
        failures_.pop_front();
    if (failures_.size() >= rule_.limit)
        return std::nullopt;
    const auto doublings = std::min<std::size_t>(failures_.size(), 20);
    failures_.push_back(now);
    return std::min(rule_.firstDelay * (1 << doublings), rule_.longestDelay);
}

} // namespace shallotwalk
