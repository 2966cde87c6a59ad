#include "core/exchange/peerclock.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Age at which a bound is measured again, so that a difference between the clocks' rates stays
/// negligible.
constexpr Duration measurementInterval = std::chrono::seconds(5);
/// Time between two probes while no echo arrives.
constexpr Duration probeRetryDelay = std::chrono::milliseconds(500);
constexpr std::size_t rememberedProbes = 4;
/// Largest assumed difference between the rates of two clocks, in parts per million.
constexpr Duration::rep maxDriftPpm = 200;
constexpr Duration::rep million = 1'000'000;

} // namespace

bool PeerClock::probeDue(TimePoint now) const
{
    const bool recent = !probes_.empty() && now - probes_.back() < probeRetryDelay;
    return !recent && (!offset_ || now - measuredAt_ >= measurementInterval);
}

void PeerClock::probed(TimePoint now)
{
    probes_.push_back(now);
    if (probes_.size() > rememberedProbes)
        probes_.pop_front();
}

void PeerClock::answered(std::uint64_t incarnation, const ClockEcho &echo, TimePoint now)
{
    const auto probe = std::find(probes_.begin(), probes_.end(), echo.probe);
    if (probe == probes_.end())
        return;
    probes_.erase(probe);
    const Duration offset = echo.probe - echo.receivedAt;
    if (incarnation == incarnation_ && offset_)
        offset_ = std::max(offset, *offset_ - allowedDrift(now));
    else
        offset_ = offset;
    incarnation_ = incarnation;
    measuredAt_ = now;
}

std::optional<TimePoint> PeerClock::toLocal(std::uint64_t incarnation, TimePoint time,
                                            TimePoint now) const
{
    if (!offset_ || incarnation != incarnation_)
        return std::nullopt;
    return time + *offset_ - allowedDrift(now);
}

Duration PeerClock::allowedDrift(TimePoint now) const
{
    return (now - measuredAt_) * maxDriftPpm / million;
}

} // namespace shallotwalk
