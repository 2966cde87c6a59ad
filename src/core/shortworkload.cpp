#include "core/shortworkload.h"

#include <algorithm>
#include <cmath>

namespace shallotwalk {

namespace {

// Long enough to smooth bursts; a report that starts runs for longer still.
constexpr Duration smoothing = std::chrono::seconds(5);
constexpr Duration answerLifetime = std::chrono::milliseconds(100);
// Target of design.md, section 1.
constexpr double longestWaitRatio = 1.5;
// Below a fifth of the service time a longer wait is hardly seen in the response time.
constexpr double negligibleWait = 0.2;

/// Probability that a request waits for one of \a servers at \a load (Erlang C), load < servers.
double waitProbability(std::uint32_t servers, double load)
{
    double blocking = 1;
    for (std::uint32_t i = 1; i <= servers; ++i)
        blocking = load * blocking / (i + load * blocking);
    const double utilization = load / servers;
    return blocking / (1 - utilization * (1 - blocking));
}

/// The p99 wait in multiples of the mean service time.
double longestWait(std::uint32_t servers, double load)
{
    if (load >= servers)
        return HUGE_VAL;
    const double waiting = 100 * waitProbability(servers, load);
    return waiting <= 1 ? 0 : std::log(waiting) / (servers - load);
}

} // namespace

void ShortWorkLoad::update(std::uint32_t running, TimePoint now)
{
    const auto elapsed = static_cast<double>(std::max(now - updated_, Duration::zero()).count());
    const double kept = std::exp(-elapsed / static_cast<double>(smoothing.count()));
    average_ = average_ * kept + running_ * (1 - kept);
    running_ = running;
    updated_ = now;
}

bool ShortWorkLoad::toleratesLoss(std::uint32_t total, std::uint32_t remaining, TimePoint now)
{
    if (now < answer_.validUntil && total == answer_.total && remaining == answer_.remaining)
        return answer_.tolerates;
    update(running_, now);
    const double reduced = longestWait(remaining, average_);
    const bool tolerates =
        reduced <= negligibleWait || reduced <= longestWaitRatio * longestWait(total, average_);
    answer_ = {total, remaining, tolerates, now + answerLifetime};
    return tolerates;
}

} // namespace shallotwalk
