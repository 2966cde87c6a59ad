#pragma once

#include "core/confirmationset.h"
#include "core/groupactions.h"
#include "core/primarymonitor.h"
#include "core/promotionmachine.h"
#include "core/replicapolicy.h"
#include "core/termhistory.h"
#include "core/writefence.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// LEAF error object beside a Failure with ErrorCode::SessionStateLost: the position to which the
/// session's cookie is reset.
struct SessionReset
{
    Position position;
};

/// Settings of a DatabaseGroup.
struct GroupSettings
{
    std::vector<std::string> servers; ///< VMs of the pool; not empty.
    std::uint32_t confirmReplicas = 1;
    Duration confirmTimeout{std::chrono::milliseconds(1000)};
    MonitorSettings monitor;
    PromotionSettings promotion;
};

/// Decisions of the owner of one pool about its database group: the primary, promotion, write
/// confirmation and session positions. Not thread-safe. A change of the pool's servers needs a
/// new instance.
///
/// How an actor drives it:
/// \code
///   DatabaseGroup group(settings);
///   // ownership won, with the confirmation set of the owner record (empty if never written):
///   run(group.ownershipStarted(epoch, record, leaseEnd, now));
///   // each renewal of the lease; then a timer for nextDue():
///   run(group.leaseExtended(leaseEnd, now));   run(group.tick(now));
///   // each answer or missed answer (reachable = false) of a ServerMonitor, and SampleNow:
///   run(group.sample(status, now));
///   // a write: refuse it before it runs, or run it on the target, then await Acknowledge:
///   auto target = group.writeTarget(now);      // Result: Failure with "did not run"
///   ... run on group.servers()[*target] within one transaction, read term and LSN ...
///   run(group.writeRan(id, position, deadline, now));
///   // a read:
///   auto requirement = group.readRequirement(sessionPosition, maxStaleness, now);
///   policy.choose(*requirement, group.servers(), group.primary(), now);
/// \endcode
/// run() executes the actions in order and reports their results: PromoteServer ->
/// promotionFinished(), PrepareDatabase -> databasePrepared() (a failed one is repeated),
/// SwapConfirmationSet -> swapFinished(). Results may arrive late or never. Acknowledge must
/// be executed in the same event; a pause after the decision is harmless.
class DatabaseGroup
{
public:
    /// \pre \a settings names at least one server.
    explicit DatabaseGroup(GroupSettings settings);

    /// Ownership with \a epoch begins. Writes of an earlier epoch end with "may have run".
    /// \a requested is the set of an earlier swap under the same epoch that may still take effect.
    GroupActions
    ownershipStarted(Epoch epoch, const ConfirmationRecord &record, TimePoint leaseEnd,
                     TimePoint now,
                     const std::optional<ConfirmationRecord> &requested = std::nullopt);
    /// The lease holds until \a leaseEnd, which may also be brought forward.
    GroupActions leaseExtended(TimePoint leaseEnd, TimePoint now);
    /// Ownership has ended or was handed over.
    GroupActions ownershipEnded(TimePoint now);

    /// A sample of one server; with \c reachable false only \c vm and \c sampledAt count.
    GroupActions sample(const ServerStatus &status, TimePoint now);
    /// Time has passed.
    GroupActions tick(TimePoint now);
    /// Time at which tick() must be called if no other event comes first, or TimePoint::max().
    TimePoint nextDue() const;
    GroupActions promotionFinished(std::uint64_t order, PromotionOutcome outcome, TimePoint now);
    GroupActions databasePrepared(std::string_view vm, std::span<const TermRow> rows,
                                  TimePoint now);
    /// A write has committed on the primary at \a position and waits for its acknowledgement.
    GroupActions writeRan(WorkId id, Position position, TimePoint deadline, TimePoint now);
    /// \a requested is the record of the action, \a current the one read with a conflict, if known.
    GroupActions swapFinished(SwapOutcome outcome, const ConfirmationRecord &requested,
                              const std::optional<ConfirmationRecord> &current, TimePoint now);

    /// Marks exactly \a vms as leaving.
    void setLeaving(std::span<const std::string> vms);
    /// Number of connections in use on \a vm, shown in servers().
    void setBusyConnections(std::string_view vm, std::uint32_t count);

    /// Index into servers() of the server for writes. Fails with NotOwner, NoPrimary or
    /// Unconfirmed (a write could not be confirmed now), verdict "did not run".
    Result<std::size_t> writeTarget(TimePoint now) const;

    /// What a read of a session needs. Fails with NotOwner, NoPrimary, SessionStateLost (with a
    /// SessionReset) or, for a term that this proxy doesn't know, NotOwner; "did not run".
    Result<ReadRequirement> readRequirement(std::optional<Position> session, Duration maxStaleness,
                                            TimePoint now) const;

    /// The servers as policies may use them, in the order of the settings: those that don't belong
    /// to the period in service are shown as unreachable.
    std::span<const ServerStatus> servers() const { return usable_; }
    /// The servers as last sampled, in the same order.
    std::span<const ServerStatus> samples() const { return monitor_.servers(); }
    /// Index of the primary in service, if there is one.
    std::optional<std::size_t> primary() const;
    /// Position that covers all acknowledged writes.
    Position lastAcknowledged() const { return acknowledged_; }
    Term term() const { return term_; }
    PromotionStep step() const { return machine_.step(); }
    PrimaryState primaryState(TimePoint now) const;
    const ConfirmationRecord &confirmationSet() const { return confirmations_.record(); }
    std::size_t unacknowledgedWrites() const { return fence_.size(); }

private:
    bool leaseValid(TimePoint now) const { return epoch_ != 0 && now < leaseEnd_; }
    GroupView view(TimePoint now) const;
    void advance(TimePoint now, GroupActions &actions);
    void beginService(std::string_view vm, std::span<const TermRow> rows, GroupActions &actions);
    void updateUsableServers();
    void releaseWrites(TimePoint now, GroupActions &actions);
    void reviewConfirmationSet(TimePoint now, GroupActions &actions);

    GroupSettings settings_;
    PrimaryMonitor monitor_;
    TermHistory history_;
    std::vector<ServerStatus> usable_;
    ConfirmationSet confirmations_;
    PromotionMachine machine_;
    WriteFence fence_;
    Epoch epoch_ = 0;
    TimePoint leaseEnd_;
    Term term_ = 0;         ///< Term of the last primary in service in this epoch; 0: none yet.
    ServicePeriod period_;  ///< Last period in service.
    TimePoint advancedAt_;  ///< Due times until then have been served.
    bool readable_ = false; ///< The row of term_ is held by enough of the confirmation set.
    Position acknowledged_; ///< Covers all writes acknowledged in any epoch, once term_ is set.
};

} // namespace shallotwalk
