#pragma once

#include "core/candidateliveness.h"
#include "core/lease.h"
#include "core/ownershipactions.h"
#include "core/ownershipsettings.h"
#include "core/swapoutcome.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Where a record came from.
enum class RecordSource {
    StoreRead, ///< Answer to a ReadRecord, by the store itself.
    Notice,    ///< A watch or a peer; may be old.
};

/// Ownership of one database as seen by one proxy: acquires, renews, hands over and loses it.
///
/// Each proxy that is a candidate, the owner, or may have to create the record holds one object per
/// database. An actor drives it, and executes the returned actions in order:
///
///     OwnershipMachine machine(pool, self, settings, now);    // once per actor
///     run(machine.membersChanged(ranking, now));              // from MembersChanged
///     run(machine.tick(now));                                 // at nextDue(), by one timer
///     run(machine.recordSeen(record, revision, source, now)); // read, watch or OwnerUpdate
///     run(machine.swapAnswered(id, outcome, revision, now));  // after SwapRecord
///     run(machine.promiseReplied(reply, now));                // PromiseReply from any candidate
///     reply = table.answer(request, now);                     // PromiseRequest from any owner:
///     run(machine.ownerHeard(request, now));                  //   tell both table and machine
///     if (machine.mayServe(now)) ...                          // before each acknowledgement
///
/// Executing the actions:
///     SwapRecord   -> StoreCompareAndSwap; answer, also if it failed, with swapAnswered()
///     ReadRecord   -> StoreRead; on success PromiseTable::recordRead(), then recordSeen()
///     AskPromise   -> SendPromiseRequest, or table.answer() and promiseReplied() if vm is self
///     BeginServing -> terminate connections of lower epochs, then open connections
///     StopServing  -> acknowledge nothing more; close connections
///
/// The promise table belongs to the process and outlives the machine; a restarted actor makes a new
/// machine, which raises the epoch before it serves. The time must never go back. Not thread-safe.
class OwnershipMachine
{
public:
    OwnershipMachine(std::string database, std::string self, OwnershipSettings settings,
                     TimePoint now);

    /// Does what is due at \a now. Any event more than longestTimerDelay after nextDue() means that
    /// the process was suspended and may have missed renewals.
    OwnershipActions tick(TimePoint now);

    /// Next time at which tick() has something to do, as of the last event; TimePoint::max() if
    /// only an event changes that. A time in the past means at once.
    TimePoint nextDue() const;

    /// The record has \a revision; without a value and with revision 0 there is none. Older
    /// revisions than the known one have no effect.
    OwnershipActions recordSeen(const std::optional<OwnerRecord> &record, std::int64_t revision,
                                RecordSource source, TimePoint now);

    /// The swap \a id was answered. \a revision is the new one if it was swapped. A conflict makes
    /// the machine read the record.
    OwnershipActions swapAnswered(std::uint64_t id, SwapOutcome outcome, std::int64_t revision,
                                  TimePoint now);

    /// A candidate answered a request of this proxy.
    OwnershipActions promiseReplied(const PromiseReply &reply, TimePoint now);

    /// A request of another owner reached this proxy, which shows that the owner lives.
    OwnershipActions ownerHeard(const PromiseRequest &request, TimePoint now);

    /// The live members that aren't leaving, by their rank for this database (CandidateRanking).
    OwnershipActions membersChanged(std::vector<std::string> ranking, TimePoint now);

    /// This proxy leaves: hand the database to another candidate. The machine serves until the
    /// store has recorded the successor. Takes over nothing from then on.
    OwnershipActions drain(TimePoint now);

    /// Stops serving and releases all promises, as the last call at the end of a drain.
    OwnershipActions finish();

    /// Asks for another confirmation set (section 6), which is in force once record() shows it.
    /// Returns nothing if this proxy doesn't serve or a swap is outstanding; then repeat it later.
    OwnershipActions changeConfirmation(std::vector<std::string> members, std::uint32_t count,
                                        TimePoint now);

    /// Whether this proxy may acknowledge work at \a now.
    bool mayServe(TimePoint now) const;

    /// Time at which the lease ends unless renewed; TimePoint::min() if this proxy holds none.
    TimePoint leaseEnd() const;

    /// The record as last seen.
    const std::optional<OwnerRecord> &record() const { return record_; }

    /// Store revision of record(); 0 if there is none.
    std::int64_t revision() const { return revision_; }

    /// The epoch under which this proxy is the owner; 0 if it isn't.
    Epoch ownEpoch() const { return ownsRecord() ? record_->epoch : 0; }

    /// Whether a swap is outstanding or its result unknown.
    bool swapOutstanding() const { return pending_.has_value() || unresolved_; }

    /// Earliest time of the next swap, during the pause that follows an unanswered one.
    TimePoint nextSwap() const { return nextSwap_; }

private:
    struct PendingSwap
    {
        SwapRecord swap;
        TimePoint sentAt;
    };

    void noteTime(TimePoint now);
    TimePoint storeDue() const;
    TimePoint creationDue() const;
    TimePoint renewalDue() const;
    TimePoint changeDue() const;
    TimePoint takeoverDue() const;
    bool canSwap() const { return !pending_ && !readNeeded() && !finished_; }
    bool ownsRecord() const;
    bool isCandidate() const;
    bool readNeeded() const { return !firstReadEpoch_ || unresolved_; }
    bool maySwap(TimePoint now) const { return canSwap() && now >= nextSwap_; }
    TimePoint majorityEnd(const Lease &lease) const;
    std::vector<std::string> promisers() const;
    Duration jitter(Duration longest) const;
    TimePoint takeoverTime() const;

    void adopt(const std::optional<OwnerRecord> &record, std::int64_t revision, TimePoint now,
               OwnershipActions &actions);
    void releaseAll(std::span<const std::string> vms, Epoch epoch, OwnershipActions &actions);
    void stop(StopReason reason, OwnershipActions &actions);
    void updateServing(TimePoint now, OwnershipActions &actions);
    void swap(OwnerRecord record, TimePoint now, OwnershipActions &actions);
    void swapUnknown(TimePoint now, OwnershipActions &actions);
    void read(TimePoint now, OwnershipActions &actions);
    void checkStore(TimePoint now, OwnershipActions &actions);
    void createRecord(TimePoint now, OwnershipActions &actions);
    void takeOver(TimePoint now, OwnershipActions &actions);
    void query(TimePoint now, OwnershipActions &actions);
    PromiseRequest makeRequest(Epoch epoch);
    void askPromises(TimePoint now, OwnershipActions &actions);
    void changeRecord(TimePoint now, OwnershipActions &actions);
    void reviewCandidates(TimePoint now);

    std::string database_;
    std::string self_;
    OwnershipSettings settings_;

    std::optional<OwnerRecord> record_;
    std::int64_t revision_ = 0;
    /// Epoch of the first record read from the store in this life. Higher ones were assigned since,
    /// so no former process of this VM has served under them.
    std::optional<Epoch> firstReadEpoch_;

    std::optional<PendingSwap> pending_;
    bool unresolved_ = false; ///< A swap's result is unknown and has yet to be read back.
    std::uint64_t lastSwap_ = 0;
    TimePoint nextSwap_;
    TimePoint nextRead_;

    std::uint64_t lastSequence_ = 0; ///< Of requests to candidates, for lease_ and queries_ both.
    Lease lease_;                    ///< Promises held as the owner.
    Lease queries_;                  ///< Candidates that are free, before a takeover.
    std::map<std::string, TimePoint, std::less<>> nextRequests_; ///< To each promiser.
    CandidateLiveness liveness_;
    bool serving_ = false;
    Epoch servedEpoch_ = 0; ///< Epoch of the last BeginServing.
    bool draining_ = false;
    bool finished_ = false;
    TimePoint nextQuery_;
    TimePoint heard_; ///< Last sign of life of the owner.
    TimePoint lastEvent_;
};

} // namespace shallotwalk
