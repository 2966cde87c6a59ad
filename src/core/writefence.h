#pragma once

#include "core/confirmationset.h"
#include "core/groupactions.h"
#include "core/termhistory.h"

#include <map>
#include <span>

namespace shallotwalk {

/// What decides on acknowledgements at one moment.
struct FenceView
{
    const ConfirmationSet &confirmations;
    std::span<const ServerStatus> servers;
    ServedTerm served;
    bool serving = false; ///< The promotion machine is in service.
    bool leaseValid = false;
    TimePoint now;
};

/// Holds writes that ran until they may be acknowledged: confirmed, then the lease valid, then
/// the term current. Not thread-safe.
class WriteFence
{
public:
    /// Takes a write that committed at \a position. \pre \a id isn't held.
    void add(WorkId id, Position position, TimePoint deadline);

    /// Translates the held writes into \a term. Those beyond a fork end with Superseded,
    /// "may have run"; the others have survived and wait for their confirmation in \a term.
    GroupActions termChanged(const TermHistory &history, Term term);

    /// Returns the writes that are acknowledged, and those whose deadline has passed (Unconfirmed,
    /// "may have run").
    GroupActions release(const FenceView &view);

    /// Ends all writes with Superseded, "may have run".
    GroupActions failAll();

    /// Highest position held, or the lowest position if there is none.
    Position highest() const;
    /// Earliest deadline held, or TimePoint::max().
    TimePoint nextDue() const;
    std::size_t size() const { return writes_.size(); }

private:
    struct Write
    {
        Position position;
        TimePoint deadline;
    };

    std::map<WorkId, Write> writes_;
};

} // namespace shallotwalk
