#pragma once

#include "core/position.h"
#include "core/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace shallotwalk {

/// Log positions of the primary at known times. Each comes from the primary's answer to a command
/// and covers every commit that was acknowledged before the command was sent. A server whose log
/// holds the position may therefore serve a read that tolerates data of that age. Positions must
/// come from a server that led its group when it answered. Not thread-safe.
class Watermarks
{
public:
    /// Records that the primary's log ended at \a position when it answered a command that was
    /// sent at \a sentAt. A position of an older term than the newest one is ignored.
    void record(Position position, TimePoint sentAt);

    /// The position that a server's log must hold to serve a read that started at \a startedAt: the
    /// oldest that is recent enough for \a maxStaleness and that covers \a sessionPosition. Empty
    /// if none is known. A session position of an older term is covered by any position of the
    /// newest term, unless the promotion has rolled it back.
    std::optional<Position> requiredPosition(TimePoint startedAt, Duration maxStaleness,
                                             Position sessionPosition) const;

    /// When the command was sent whose answer gave the newest position; the epoch of the clock if
    /// there is none.
    TimePoint newestAt() const;
    /// The newest position; Position() if there is none.
    Position newest() const { return marks_.empty() ? Position() : marks_.back().position; }
    /// Term of the recorded positions; 0 if there are none.
    Term term() const { return marks_.empty() ? 0 : marks_.back().position.term; }

    /// Removes the positions whose command was sent before \a limit, except the newest position.
    void removeBefore(TimePoint limit);

    std::size_t size() const { return marks_.size(); }

private:
    struct Mark
    {
        Position position;
        TimePoint sentAt; ///< When the command was sent.
    };

    std::deque<Mark> marks_; ///< All of one term, in order of sentAt and of position.
};

} // namespace shallotwalk
