#include "core/databasegroup.h"

#include <algorithm>
#include <utility>

namespace shallotwalk {

namespace {

Failure didNotRun(ErrorCode code, std::string message)
{
    return {code, Verdict::DidNotRun, std::move(message)};
}

void append(GroupActions &actions, GroupActions added)
{
    std::move(added.begin(), added.end(), std::back_inserter(actions));
}

} // namespace

DatabaseGroup::DatabaseGroup(GroupSettings settings)
    : settings_(std::move(settings))
    , monitor_(settings_.monitor, settings_.servers)
    , confirmations_(settings_.confirmReplicas, settings_.confirmTimeout)
    , machine_(settings_.promotion)
{
}

GroupActions DatabaseGroup::ownershipStarted(Epoch epoch, const ConfirmationRecord &record,
                                             TimePoint leaseEnd, TimePoint now,
                                             const std::optional<ConfirmationRecord> &requested)
{
    auto actions = ownershipEnded(now);
    epoch_ = epoch;
    leaseEnd_ = leaseEnd;
    confirmations_.load(record, requested);
    advance(now, actions);
    return actions;
}

GroupActions DatabaseGroup::leaseExtended(TimePoint leaseEnd, TimePoint now)
{
    leaseEnd_ = leaseEnd;
    return tick(now);
}

GroupActions DatabaseGroup::ownershipEnded(TimePoint)
{
    epoch_ = 0;
    term_ = 0;
    readable_ = false;
    acknowledged_ = {};
    machine_.reset();
    return fence_.failAll();
}

GroupActions DatabaseGroup::sample(const ServerStatus &status, TimePoint now)
{
    monitor_.sample(status);
    return tick(now);
}

GroupActions DatabaseGroup::tick(TimePoint now)
{
    GroupActions actions;
    advance(now, actions);
    return actions;
}

TimePoint DatabaseGroup::nextDue() const
{
    const auto due =
        std::min({fence_.nextDue(), monitor_.nextDue(advancedAt_), machine_.nextDue(advancedAt_)});
    const bool reviews = machine_.step() == PromotionStep::Serving && leaseValid(advancedAt_);
    return reviews ? std::min(due, confirmations_.nextDue()) : due;
}

GroupActions DatabaseGroup::promotionFinished(std::uint64_t order, PromotionOutcome outcome,
                                              TimePoint now)
{
    machine_.promotionFinished(order, outcome);
    return tick(now);
}

GroupActions DatabaseGroup::databasePrepared(std::string_view vm, std::span<const TermRow> rows,
                                             TimePoint now)
{
    GroupActions actions;
    if (machine_.databasePrepared(vm, rows, leaseValid(now)))
        beginService(vm, rows, actions);
    advance(now, actions);
    return actions;
}

void DatabaseGroup::beginService(std::string_view vm, std::span<const TermRow> rows,
                                 GroupActions &actions)
{
    history_ = {};
    history_.add(rows);
    if (std::exchange(term_, machine_.term()) != machine_.term())
        readable_ = false;
    period_ = machine_.period();
    // Whatever was acknowledged before is in the log of the primary that now serves.
    const auto &server = samples()[*monitor_.indexOf(vm)];
    const auto begin = std::max(server.received.lsn, history_.fork(term_));
    acknowledged_ = std::max(acknowledged_, Position{term_, begin});
    append(actions, fence_.termChanged(history_, term_));
}

GroupActions DatabaseGroup::writeRan(WorkId id, Position position, TimePoint deadline,
                                     TimePoint now)
{
    GroupActions actions;
    fence_.add(id, position, deadline);
    if (machine_.step() == PromotionStep::Serving && position.term != term_)
        append(actions, fence_.termChanged(history_, term_));
    advance(now, actions);
    return actions;
}

GroupActions DatabaseGroup::swapFinished(SwapOutcome outcome, const ConfirmationRecord &requested,
                                         const std::optional<ConfirmationRecord> &current,
                                         TimePoint now)
{
    confirmations_.swapFinished(outcome, requested, current);
    return tick(now);
}

void DatabaseGroup::setLeaving(std::span<const std::string> vms)
{
    for (std::size_t i = 0; i < samples().size(); ++i)
        monitor_.setLeaving(i, std::find(vms.begin(), vms.end(), samples()[i].vm) != vms.end());
}

void DatabaseGroup::setBusyConnections(std::string_view vm, std::uint32_t count)
{
    if (const auto index = monitor_.indexOf(vm))
        monitor_.setBusyConnections(*index, count);
}

Result<std::size_t> DatabaseGroup::writeTarget(TimePoint now) const
{
    if (!leaseValid(now))
        return boost::leaf::new_error(
            didNotRun(ErrorCode::NotOwner, "this proxy doesn't hold the database's lease"));
    const auto index = primary();
    if (!index || primaryState(now) != PrimaryState::Alive)
        return boost::leaf::new_error(
            didNotRun(ErrorCode::NoPrimary, "the database group has no primary at present"));
    if (!confirmations_.canConfirm({machine_.primary(), term_, period_}, samples()))
        return boost::leaf::new_error(
            didNotRun(ErrorCode::Unconfirmed, "too few replicas are available to confirm a write"));
    return *index;
}

Result<ReadRequirement> DatabaseGroup::readRequirement(std::optional<Position> session,
                                                       Duration maxStaleness, TimePoint now) const
{
    if (!leaseValid(now))
        return boost::leaf::new_error(
            didNotRun(ErrorCode::NotOwner, "this proxy doesn't hold the database's lease"));
    if (!readable_)
        return boost::leaf::new_error(
            didNotRun(ErrorCode::NoPrimary, "the database group has no primary at present"));
    ReadRequirement requirement{{term_, 0}, term_, maxStaleness};
    if (maxStaleness == Duration::zero())
        requirement.position = acknowledged_;
    if (!session)
        return requirement;
    const auto check = history_.check(*session, term_);
    switch (check.outcome) {
    case SessionCheck::Outcome::Covered:
        requirement.position = std::max(requirement.position, check.position);
        return requirement;
    case SessionCheck::Outcome::Lost:
        return boost::leaf::new_error(
            didNotRun(ErrorCode::SessionStateLost,
                      "data that this session has seen was lost in a change of primary"),
            SessionReset{check.position});
    case SessionCheck::Outcome::Unknown:
        break;
    }
    return boost::leaf::new_error(didNotRun(
        ErrorCode::NotOwner, "the session's term isn't known to this proxy; its state is behind"));
}

std::optional<std::size_t> DatabaseGroup::primary() const
{
    if (machine_.step() != PromotionStep::Serving)
        return std::nullopt;
    return monitor_.indexOf(machine_.primary());
}

PrimaryState DatabaseGroup::primaryState(TimePoint now) const
{
    const auto index = monitor_.indexOf(machine_.primary());
    return index ? monitor_.state(*index, fence_.size() > 0, now) : PrimaryState::Failed;
}

GroupView DatabaseGroup::view(TimePoint now) const
{
    return {monitor_, confirmations_, epoch_, leaseValid(now), fence_.size() > 0, now};
}

void DatabaseGroup::advance(TimePoint now, GroupActions &actions)
{
    advancedAt_ = now;
    machine_.advance(view(now), actions);
    // Before enough members hold the term's row, another server could begin a term of the same
    // number, in which a session's position would mean other data.
    if (!readable_ && machine_.step() == PromotionStep::Serving)
        readable_ = confirmations_.confirmed(acknowledged_, {machine_.primary(), term_, period_},
                                             samples());
    releaseWrites(now, actions);
    reviewConfirmationSet(now, actions);
    updateUsableServers();
}

void DatabaseGroup::updateUsableServers()
{
    usable_.assign(samples().begin(), samples().end());
    for (auto &server : usable_) {
        const bool isPrimary = server.vm == machine_.primary();
        const bool belongs = server.inRecovery ? server.servedPeriod == period_ : isPrimary;
        server.reachable = server.reachable && belongs;
    }
}

void DatabaseGroup::releaseWrites(TimePoint now, GroupActions &actions)
{
    const bool serving = machine_.step() == PromotionStep::Serving;
    auto released = fence_.release({confirmations_,
                                    samples(),
                                    {machine_.primary(), term_, period_},
                                    serving,
                                    leaseValid(now),
                                    now});
    for (const auto &action : released) {
        if (const auto *acknowledge = std::get_if<Acknowledge>(&action))
            acknowledged_ = std::max(acknowledged_, acknowledge->position);
    }
    append(actions, std::move(released));
}

void DatabaseGroup::reviewConfirmationSet(TimePoint now, GroupActions &actions)
{
    if (machine_.step() != PromotionStep::Serving || !leaseValid(now))
        return;
    const auto written = std::max(acknowledged_, fence_.highest());
    const auto swap = confirmations_.review(acknowledged_, written,
                                            {machine_.primary(), term_, period_}, samples(), now);
    if (swap)
        actions.push_back(*swap);
}

} // namespace shallotwalk
