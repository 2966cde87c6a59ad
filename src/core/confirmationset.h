#pragma once

#include "core/groupactions.h"
#include "core/serverstatus.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// The primary in service, against which confirmations count.
struct ServedTerm
{
    std::string_view primary;
    Term term = 0;
    ServicePeriod period;
};

/// The members of a database group that confirm writes, and the change of that set which is under
/// way. A change begins with the joint rule: acknowledgements must satisfy both sets. The swap is
/// requested once every member of the new set holds all writes acknowledged before that, so that
/// the new set alone accounts for every acknowledged write. Until the result of the swap is known,
/// promotions must satisfy both sets, too. Not thread-safe.
class ConfirmationSet
{
public:
    ConfirmationSet(std::uint32_t confirmReplicas, Duration confirmTimeout);

    /// Takes over the owner record's set. A new epoch changes the record's revision, so that no
    /// earlier swap can take effect any more; service that begins again under the same epoch must
    /// give the set of a swap that may still do so as \a requested.
    void load(const ConfirmationRecord &record,
              const std::optional<ConfirmationRecord> &requested = std::nullopt);

    /// True if enough members hold \a position, under the term and period of \a served.
    bool confirmed(Position position, const ServedTerm &served,
                   std::span<const ServerStatus> servers) const;

    /// True if enough members are reachable and in the served term that a write could be confirmed.
    bool canConfirm(const ServedTerm &served, std::span<const ServerStatus> servers) const;

    /// True if every acknowledged write is held by at least one of \a reachable.
    bool mayPromote(std::span<const std::string_view> reachable) const;

    /// True if \a vm is a member of the set or of the set that a pending change leads to.
    bool isMember(std::string_view vm) const;

    /// True if any server may be promoted, because no write is confirmed by replicas.
    bool promotionIsFree() const { return confirmReplicas_ == 0 || current_.members.empty(); }

    /// Decides whether the set must change. \a acknowledged covers all acknowledged writes,
    /// \a written also those that wait. Called on each sample and timer.
    std::optional<SwapConfirmationSet> review(Position acknowledged, Position written,
                                              const ServedTerm &served,
                                              std::span<const ServerStatus> servers, TimePoint now);

    /// The result of swapping in \a requested; \a current is the record read with a conflict.
    void swapFinished(SwapOutcome outcome, const ConfirmationRecord &requested,
                      const std::optional<ConfirmationRecord> &current);

    const ConfirmationRecord &record() const { return current_; }
    const std::optional<ConfirmationRecord> &pending() const { return pending_; }

    /// Time after the last review at which the next one is due at the latest; TimePoint::max() if
    /// no review is needed.
    TimePoint nextDue() const;

private:
    /// Progress that a replica owes since \c since.
    struct Debt
    {
        LogPosition target = 0;
        TimePoint since;
        bool met = false; ///< It has reached at least one target.
    };

    const Debt &updateDebt(const ServerStatus &server, Position written, const ServedTerm &served,
                           TimePoint now);
    ConfirmationRecord wanted(Position written, const ServedTerm &served,
                              std::span<const ServerStatus> servers, TimePoint now);
    void prepareChange(const ConfirmationRecord &next, Position acknowledged);

    std::uint32_t confirmReplicas_;
    Duration confirmTimeout_;
    ConfirmationRecord current_;
    std::optional<ConfirmationRecord> pending_;
    bool requested_ = false; ///< The swap to pending_ was requested, so it may take effect.
    Position floor_;         ///< Covers the writes acknowledged before the joint rule for pending_.
    TimePoint requestedAt_;
    TimePoint reviewedAt_;
    std::map<std::string, Debt, std::less<>> debts_;
};

} // namespace shallotwalk
