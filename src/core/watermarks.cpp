#include "core/watermarks.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Least time between two recorded positions. Closer ones would hardly lower the position that a
/// read requires.
constexpr Duration minSpacing = std::chrono::milliseconds(20);

} // namespace

void Watermarks::record(Position position, TimePoint sentAt)
{
    if (position.term < term())
        return;
    if (position.term > term())
        marks_.clear();
    // Answers on different connections may arrive out of order.
    if (!marks_.empty() && sentAt - marks_.back().sentAt < minSpacing)
        return;
    marks_.push_back({position, sentAt});
}

std::optional<Position> Watermarks::requiredPosition(TimePoint startedAt, Duration maxStaleness,
                                                     Position sessionPosition) const
{
    const auto limit = startedAt - maxStaleness;
    const auto found = std::find_if(marks_.begin(), marks_.end(),
                                    [limit](const Mark &mark) { return mark.sentAt >= limit; });
    if (found == marks_.end())
        return std::nullopt;
    if (sessionPosition.term > found->position.term)
        return std::nullopt;
    return std::max(found->position, sessionPosition);
}

TimePoint Watermarks::newestAt() const
{
    return marks_.empty() ? TimePoint{} : marks_.back().sentAt;
}

void Watermarks::removeBefore(TimePoint limit)
{
    while (marks_.size() > 1 && marks_.front().sentAt < limit)
        marks_.pop_front();
}

} // namespace shallotwalk
