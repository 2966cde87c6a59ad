#pragma once

#include "core/position.h"
#include "core/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace shallotwalk {

/// Positions of the primary at known times. Each covers every commit that was acknowledged before
/// its question was sent, so a server whose log holds it may serve a read that tolerates data of
/// that age. Positions must come from a server that led its group when it answered. Not
/// thread-safe.
class Watermarks
{
public:
    /// Notes that the primary's log ended at \a position when it answered a question sent at
    /// \a askedAt. A position of an older term than the newest one is ignored.
    void record(Position position, TimePoint askedAt);

    /// The position that a read started at \a startedAt must find: the oldest that is recent enough
    /// for \a maxStaleness and that covers \a sessionPosition. Empty if none is known. A session
    /// position of an older term is covered by any position of the newest term, unless the
    /// promotion has rolled it back.
    std::optional<Position> requiredPosition(TimePoint startedAt, Duration maxStaleness,
                                             Position sessionPosition) const;

    /// Time of the question of the newest watermark; the past if there is none.
    TimePoint newestAt() const;
    Term term() const { return marks_.empty() ? 0 : marks_.back().position.term; }

    /// Forgets positions asked for before \a limit, but for the newest.
    void removeBefore(TimePoint limit);

    std::size_t size() const { return marks_.size(); }

private:
    struct Mark
    {
        Position position;
        TimePoint askedAt;
    };

    std::deque<Mark> marks_; ///< All of one term, in order of askedAt and of position.
};

} // namespace shallotwalk
