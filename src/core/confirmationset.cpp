#include "core/confirmationset.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Time after which an unanswered swap is requested again.
constexpr Duration swapRetry = std::chrono::milliseconds(500);

bool contains(const ConfirmationRecord &record, std::string_view vm)
{
    return std::find(record.members.begin(), record.members.end(), vm) != record.members.end();
}

/// A replica whose received position is known to continue the served term. Requiring the period's
/// row excludes replicas of another server that took the same term number.
bool follows(const ServerStatus &server, const ServedTerm &served)
{
    return server.inRecovery && server.received.term == served.term
           && server.servedPeriod == served.period;
}

bool holds(const ServerStatus &server, Position position, const ServedTerm &served)
{
    return server.vm == served.primary || (follows(server, served) && server.received >= position);
}

bool answers(std::string_view vm, std::span<const ServerStatus> servers)
{
    return std::any_of(servers.begin(), servers.end(),
                       [vm](const auto &server) { return server.vm == vm && server.reachable; });
}

bool satisfied(const ConfirmationRecord &record, std::span<const ServerStatus> servers,
               const auto &predicate)
{
    const auto count = std::count_if(servers.begin(), servers.end(), [&](const auto &server) {
        return contains(record, server.vm) && predicate(server);
    });
    return !record.members.empty() && static_cast<std::uint32_t>(count) >= record.count;
}

bool readQuorum(const ConfirmationRecord &record, std::span<const std::string_view> reachable)
{
    const std::size_t count = std::count_if(reachable.begin(), reachable.end(),
                                            [&](auto vm) { return contains(record, vm); });
    return count + record.count >= record.members.size() + 1;
}

} // namespace

ConfirmationSet::ConfirmationSet(std::uint32_t confirmReplicas, Duration confirmTimeout)
    : confirmReplicas_(confirmReplicas)
    , confirmTimeout_(confirmTimeout)
{
}

void ConfirmationSet::load(const ConfirmationRecord &record,
                           const std::optional<ConfirmationRecord> &requested)
{
    current_ = record;
    pending_ = requested;
    requested_ = requested.has_value();
    requestedAt_ = {};
    debts_.clear();
}

bool ConfirmationSet::confirmed(Position position, const ServedTerm &served,
                                std::span<const ServerStatus> servers) const
{
    if (position.term != served.term)
        return false;
    if (confirmReplicas_ == 0)
        return true;
    const auto predicate = [&](const auto &server) { return holds(server, position, served); };
    return satisfied(current_, servers, predicate)
           && (!pending_ || satisfied(*pending_, servers, predicate));
}

bool ConfirmationSet::canConfirm(const ServedTerm &served,
                                 std::span<const ServerStatus> servers) const
{
    if (confirmReplicas_ == 0)
        return true;
    const auto predicate = [&](const auto &server) {
        return server.vm == served.primary || (server.reachable && follows(server, served));
    };
    return satisfied(current_, servers, predicate)
           && (!pending_ || satisfied(*pending_, servers, predicate));
}

bool ConfirmationSet::mayPromote(std::span<const std::string_view> reachable) const
{
    if (promotionIsFree())
        return !reachable.empty();
    return readQuorum(current_, reachable) && (!requested_ || readQuorum(*pending_, reachable));
}

bool ConfirmationSet::isMember(std::string_view vm) const
{
    return contains(current_, vm) || (pending_ && contains(*pending_, vm));
}

const ConfirmationSet::Debt &ConfirmationSet::updateDebt(const ServerStatus &server,
                                                         Position written, const ServedTerm &served,
                                                         TimePoint now)
{
    const bool healthy = server.reachable && follows(server, served);
    auto &debt = debts_.try_emplace(server.vm, Debt{written.lsn, now}).first->second;
    if (healthy && server.received.lsn >= debt.target)
        debt = {written.lsn, now, true};
    if (!healthy)
        debt.met = false;
    return debt;
}

ConfirmationRecord ConfirmationSet::wanted(Position written, const ServedTerm &served,
                                           std::span<const ServerStatus> servers, TimePoint now)
{
    ConfirmationRecord staying;
    ConfirmationRecord leaving;
    for (const auto &server : servers) {
        if (server.vm == served.primary)
            continue;
        const auto &debt = updateDebt(server, written, served, now);
        const bool late = now - debt.since >= confirmTimeout_;
        if (!late && (debt.met || contains(current_, server.vm)))
            (server.leaving ? leaving : staying).members.push_back(server.vm);
    }
    auto &result = staying.members.empty() ? leaving : staying;
    result.count = std::min<std::uint32_t>(confirmReplicas_, result.members.size());
    // A new primary counts as the member that it was until others follow it, so that writes need
    // not wait for a replica that the platform has yet to point at it.
    if (contains(current_, served.primary) && !result.members.empty()
        && !satisfied(result, servers, [&](const auto &server) {
               return server.reachable && follows(server, served);
           }))
        return current_;
    if (result.members.empty()) {
        // A primary that doesn't answer confirms nothing, and no promotion could follow it.
        if (!answers(served.primary, servers))
            return current_;
        result = {{std::string(served.primary)}, 1};
    }
    std::sort(result.members.begin(), result.members.end());
    return result;
}

void ConfirmationSet::prepareChange(const ConfirmationRecord &next, Position acknowledged)
{
    if (next == current_) {
        pending_.reset();
    } else if (!pending_ || *pending_ != next) {
        pending_ = next;
        floor_ = acknowledged;
    }
}

std::optional<SwapConfirmationSet> ConfirmationSet::review(Position acknowledged, Position written,
                                                           const ServedTerm &served,
                                                           std::span<const ServerStatus> servers,
                                                           TimePoint now)
{
    if (confirmReplicas_ == 0)
        return std::nullopt;
    // Time without service, as during a change of primary, doesn't count against the replicas.
    if (now - reviewedAt_ >= confirmTimeout_ / 2)
        debts_.clear();
    reviewedAt_ = now;
    const auto next = wanted(written, served, servers, now);
    if (!requested_)
        prepareChange(next, acknowledged);
    if (!pending_ || (requested_ && now - requestedAt_ < swapRetry))
        return std::nullopt;
    const bool complete = std::all_of(servers.begin(), servers.end(), [&](const auto &server) {
        return !contains(*pending_, server.vm) || holds(server, floor_, served);
    });
    if (!requested_ && !complete)
        return std::nullopt;
    requested_ = true;
    requestedAt_ = now;
    return SwapConfirmationSet{*pending_};
}

TimePoint ConfirmationSet::nextDue() const
{
    if (confirmReplicas_ == 0)
        return TimePoint::max();
    // Twice as often as the debts need it, and so that a late replica or swap is seen in time.
    auto due = reviewedAt_ + confirmTimeout_ / 4;
    const auto consider = [&](TimePoint time) {
        if (time > reviewedAt_)
            due = std::min(due, time);
    };
    for (const auto &[vm, debt] : debts_)
        consider(debt.since + confirmTimeout_);
    if (requested_)
        consider(requestedAt_ + swapRetry);
    return due;
}

void ConfirmationSet::swapFinished(SwapOutcome outcome, const ConfirmationRecord &requested,
                                   const std::optional<ConfirmationRecord> &current)
{
    if (!requested_ || requested != *pending_ || outcome == SwapOutcome::Unknown)
        return;
    if (outcome == SwapOutcome::Conflict && !current)
        return;
    current_ = outcome == SwapOutcome::Swapped ? *pending_ : *current;
    pending_.reset();
    requested_ = false;
}

} // namespace shallotwalk
