#include "core/responseestimate.h"

#include <algorithm>
#include <cmath>

namespace shallotwalk {

namespace {

/// Weight of a new sample; about the last eight count.
constexpr double sampleWeight = 0.125;

/// Half-life of the estimate while the server isn't used. Queues at a server drain faster.
constexpr Duration halfLife = std::chrono::milliseconds(500);

} // namespace

void ResponseEstimate::record(Duration response, TimePoint now)
{
    recordRoundTrip(response);
    const auto excess = static_cast<double>((response - roundTrip_).count());
    excess_ += (excess - excess_) * sampleWeight;
    lastAt_ = now;
}

void ResponseEstimate::recordRoundTrip(Duration roundTrip)
{
    if (roundTrip_ == Duration::zero() || roundTrip < roundTrip_)
        roundTrip_ = std::max(roundTrip, Duration(1));
}

Duration ResponseEstimate::expected(TimePoint now) const
{
    const auto idle = std::max(now - lastAt_, Duration::zero());
    const double age = static_cast<double>(idle.count()) / static_cast<double>(halfLife.count());
    return roundTrip_ + Duration(static_cast<Duration::rep>(excess_ * std::exp2(-age)));
}

} // namespace shallotwalk
