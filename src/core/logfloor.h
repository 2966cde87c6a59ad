#pragma once

#include "core/position.h"

#include <algorithm>

namespace shallotwalk {

/// The position that the log of a server must reach for it to be promoted without a certain or
/// likely loss of acknowledged commits. It rests on facts that stay true whatever becomes of the
/// servers that hold the commits, so it doesn't depend on which of them are known. Not thread-safe.
class LogFloor
{
public:
    /// When the server that was promoted last was chosen, replicas had confirmed commits up to
    /// \a position at most. Each commit that was acknowledged before is within it.
    void setPromoted(Position position) { promoted_ = position; }

    /// A commit was acknowledged. It was sent when the log of the primary was known to reach
    /// \a before, to a server that was no primary before \a earliestTerm, and the log ended at
    /// \a after in the answer.
    void commitAcknowledged(Position before, Term earliestTerm, Position after);

    /// Another proxy knows of an acknowledged commit at \a position or beyond.
    void heard(Position position) { acknowledged_ = std::max(acknowledged_, position); }

    /// Forgets the acknowledged commits, since they need not be held any more.
    void forgetAcknowledged() { acknowledged_ = {}; }

    /// Position at which, or beyond, a commit is known to have been acknowledged; Position() if
    /// none is.
    Position acknowledged() const { return acknowledged_; }

    Position position() const { return std::max(promoted_, acknowledged_); }

private:
    Position promoted_;
    Position acknowledged_;
};

} // namespace shallotwalk
