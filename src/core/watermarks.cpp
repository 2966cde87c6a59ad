#include "core/watermarks.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Closer marks don't relax a requirement noticeably.
constexpr Duration spacing = std::chrono::milliseconds(20);

} // namespace

void Watermarks::record(Position position, TimePoint askedAt)
{
    if (position.term < term())
        return;
    if (position.term > term())
        marks_.clear();
    // Answers on several connections may come out of order.
    if (!marks_.empty() && askedAt - marks_.back().askedAt < spacing)
        return;
    marks_.push_back({position, askedAt});
}

std::optional<Position> Watermarks::requiredPosition(TimePoint startedAt, Duration maxStaleness,
                                                     Position sessionPosition) const
{
    const auto limit = startedAt - maxStaleness;
    const auto found = std::find_if(marks_.begin(), marks_.end(),
                                    [limit](const Mark &mark) { return mark.askedAt >= limit; });
    if (found == marks_.end())
        return std::nullopt;
    if (sessionPosition.term > found->position.term)
        return std::nullopt;
    return std::max(found->position, sessionPosition);
}

TimePoint Watermarks::newestAt() const
{
    return marks_.empty() ? TimePoint{} : marks_.back().askedAt;
}

void Watermarks::removeBefore(TimePoint limit)
{
    while (marks_.size() > 1 && marks_.front().askedAt < limit)
        marks_.pop_front();
}

} // namespace shallotwalk
