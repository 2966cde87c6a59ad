#include "core/logfloor.h"

namespace shallotwalk {

void LogFloor::commitAcknowledged(Position before, Term earliestTerm, Position after)
{
    // The answer may be of a later term than the commit, so that doesn't tell the commit's term.
    const auto term = std::max(before.term, earliestTerm);
    const Position least{term, before.term == term ? before.lsn + 1 : 1};
    if (term > 0 && least <= after)
        acknowledged_ = std::max(acknowledged_, least);
}

} // namespace shallotwalk
