#pragma once

#include "core/confirmationset.h"
#include "core/groupactions.h"
#include "core/primarymonitor.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Settings of a PromotionMachine.
struct PromotionSettings
{
    /// Time after which an order without effect is repeated to the same server.
    Duration promoteTimeout{std::chrono::milliseconds(1000)};
    /// Time between two attempts to replace a primary that is leaving.
    Duration handoverRetry{std::chrono::seconds(3)};
    /// Time after which recording the term is tried again.
    Duration recordRetry{std::chrono::milliseconds(500)};
};

/// Steps from a primary's failure, or the begin of ownership, to service.
enum class PromotionStep {
    Idle,       ///< No lease, or it was lost before anything was ordered.
    Fencing,    ///< Acknowledging has stopped; waits for the first sample after that.
    Collecting, ///< Reads the states of enough members; finds or chooses the primary.
    Promoting,  ///< One server is ordered to become primary, perhaps with an unknown result.
    Recording,  ///< Writes the term and epoch on the new primary.
    Serving,
};

/// What the machine sees in one event.
struct GroupView
{
    const PrimaryMonitor &monitor;
    const ConfirmationSet &confirmations;
    Epoch epoch = 0;
    bool leaseValid = false;
    bool writesWaiting = false;
    TimePoint now;
};

/// Finds the primary when ownership begins, and replaces it when it fails. Two rules make a
/// change safe: states are read from enough members of the confirmation set after acknowledging
/// stopped, and the primary taken is at least as recent, by (period, term, position), as each
/// of them. After one order no other server is promoted until the server ordered has answered that
/// the order has no effect, because both could become primary. Not thread-safe.
class PromotionMachine
{
public:
    explicit PromotionMachine(PromotionSettings settings);

    /// Starts over for a new epoch.
    void reset();

    /// Continues after any event; does nothing without a valid lease.
    void advance(const GroupView &view, GroupActions &actions);

    void promotionFinished(std::uint64_t order, PromotionOutcome outcome);
    /// The term row is committed on \a vm; true if that begins service.
    bool databasePrepared(std::string_view vm, std::span<const TermRow> rows, bool leaseValid);

    /// Time after \a now at which advance() may act without another event, or TimePoint::max().
    TimePoint nextDue(TimePoint now) const;

    PromotionStep step() const { return step_; }
    /// VM of the primary in service or being recorded; else of the last one.
    std::string_view primary() const { return primary_; }
    Term term() const { return row_.term; }
    ServicePeriod period() const { return row_.period; }

private:
    /// True if the leaving \a primary can be replaced by a server that stays.
    bool mayHandOver(const GroupView &view, const ServerStatus &primary) const;
    void fence(const GroupView &view, GroupActions &actions);
    void collect(const GroupView &view, GroupActions &actions);
    void awaitPromotion(const GroupView &view, GroupActions &actions);
    void order(const ServerStatus &server, const GroupView &view, GroupActions &actions);
    void record(const ServerStatus &server, LogPosition fork, const GroupView &view,
                GroupActions &actions);
    void awaitRecording(const GroupView &view, GroupActions &actions);

    PromotionSettings settings_;
    PromotionStep step_ = PromotionStep::Idle;
    std::string primary_;
    std::uint32_t attempts_ = 0; ///< Attempts at service in this epoch.
    TermRow row_;                ///< Row of the primary being recorded or in service.
    TimePoint fencedAt_;
    TimePoint recordedAt_;

    std::string target_; ///< Server ordered to promote; empty if no order can take effect.
    Position expected_;
    TimePoint orderedAt_;
    std::uint64_t lastOrder_ = 0;
    unsigned openOrders_ = 0; ///< Orders to the target that may still take effect.
    bool rejected_ = false;   ///< The last order had no effect.
};

} // namespace shallotwalk
