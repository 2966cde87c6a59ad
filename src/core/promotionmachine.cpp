#include "core/promotionmachine.h"

#include <algorithm>
#include <tuple>

namespace shallotwalk {

namespace {

/// How recent a server's data is. The period goes first: two servers can take the same term number,
/// but a period belongs to one of them only, and its row precedes all writes acknowledged in it.
using Rank = std::tuple<ServicePeriod, Term, LogPosition>;

/// The view of one pass of collecting.
class Collection
{
public:
    Collection(const GroupView &view, TimePoint since)
        : view_(view)
        , since_(since)
    {
        for (const auto &server : servers()) {
            if (!rank(server))
                continue;
            reached_.push_back(server.vm);
            if (view_.confirmations.isMember(server.vm) || view_.confirmations.promotionIsFree())
                required_ = std::max(required_, requirement(server));
        }
    }

    bool hasQuorum() const { return view_.confirmations.mayPromote(reached_); }

    /// The server out of recovery that may serve: the one with the highest period and term.
    /// \a unwanted: one that is leaving or that the replicas have lost contact with will do.
    const ServerStatus *findPrimary(bool unwanted) const
    {
        const ServerStatus *best = nullptr;
        for (const auto &server : servers()) {
            if (!mayServe(server) || (!unwanted && isUnwanted(server)))
                continue;
            if (!best || order(server) > order(*best))
                best = &server;
        }
        return best;
    }

    /// The replica to promote.
    const ServerStatus *findCandidate() const
    {
        const ServerStatus *best = nullptr;
        for (const auto &server : servers()) {
            const auto serverRank = rank(server);
            if (!serverRank || !server.inRecovery || *serverRank < required_
                || (!view_.confirmations.promotionIsFree()
                    && !view_.confirmations.isMember(server.vm)))
                continue;
            if (!best || preference(server) > preference(*best))
                best = &server;
        }
        return best;
    }

    /// True if no server answers as a primary that may serve, and each server has either answered
    /// or failed.
    bool primaryIsAbsent() const
    {
        for (std::size_t i = 0; i < servers().size(); ++i) {
            const auto &server = servers()[i];
            if ((mayServe(server) && !isUnwanted(server))
                || (!isFresh(server) && !view_.monitor.failed(i, view_.now)))
                return false;
        }
        return true;
    }

    bool isCutOff(const ServerStatus &server) const
    {
        return view_.monitor.contactLost(*view_.monitor.indexOf(server.vm), view_.now);
    }

private:
    std::span<const ServerStatus> servers() const { return view_.monitor.servers(); }

    bool isUnwanted(const ServerStatus &server) const { return server.leaving || isCutOff(server); }

    bool isFresh(const ServerStatus &server) const
    {
        return server.reachable && server.sampledAt >= since_;
    }

    /// True if the term row of the server's own term is visible on it.
    static bool isRecorded(const ServerStatus &server)
    {
        return server.servedPeriod.epoch == 0 || server.servedTerm == server.received.term;
    }

    /// The one server out of recovery that began \a term without recording it, or null.
    const ServerStatus *unrecordedPrimary(Term term) const
    {
        const ServerStatus *found = nullptr;
        for (const auto &server : servers()) {
            if (!isFresh(server) || server.inRecovery || server.received.term != term)
                continue;
            if (found || isRecorded(server))
                return nullptr;
            found = &server;
        }
        return found;
    }

    /// Rank of a fresh server; empty if it can't be known. In a term without a visible row only
    /// what the server holds of the term before it counts.
    std::optional<Rank> rank(const ServerStatus &server) const
    {
        if (!isFresh(server))
            return std::nullopt;
        auto lsn = server.received.lsn;
        if (!isRecorded(server)) {
            const auto *primary = unrecordedPrimary(server.received.term);
            if (!primary || !primary->forkLsn)
                return std::nullopt;
            lsn = std::min(lsn, *primary->forkLsn);
        }
        const auto term = server.servedPeriod.epoch == 0 ? server.received.term : server.servedTerm;
        return Rank{server.servedPeriod, term, lsn};
    }

    Rank requirement(const ServerStatus &server) const
    {
        // Without confirmation any best replica will do, and a former primary sets no bound.
        if (view_.confirmations.promotionIsFree() && !server.inRecovery)
            return {};
        return *rank(server);
    }

    bool mayServe(const ServerStatus &server) const
    {
        const auto serverRank = rank(server);
        if (!serverRank || server.inRecovery)
            return false;
        const auto [period, term, lsn] = *serverRank;
        const auto [requiredPeriod, requiredTerm, requiredLsn] = required_;
        // A recorded primary's own log is the newest of its term, however old its sample is.
        return isRecorded(server) ? std::tie(period, term) >= std::tie(requiredPeriod, requiredTerm)
                                  : *serverRank >= required_;
    }

    std::tuple<ServicePeriod, Term, bool> order(const ServerStatus &server) const
    {
        return {server.servedPeriod, server.received.term, isRecorded(server)};
    }

    std::tuple<bool, Rank> preference(const ServerStatus &server) const
    {
        return {!server.leaving, *rank(server)};
    }

    const GroupView &view_;
    TimePoint since_;
    std::vector<std::string_view> reached_;
    Rank required_;
};

bool mayPromote(const GroupView &view)
{
    std::vector<std::string_view> reachable;
    for (const auto &server : view.monitor.servers()) {
        if (server.reachable)
            reachable.push_back(server.vm);
    }
    return view.confirmations.mayPromote(reachable);
}

} // namespace

PromotionMachine::PromotionMachine(PromotionSettings settings)
    : settings_(settings)
{
}

void PromotionMachine::reset()
{
    step_ = PromotionStep::Idle;
    rejected_ = false;
    primary_.clear();
    target_.clear();
    openOrders_ = 0;
    attempts_ = 0;
}

void PromotionMachine::advance(const GroupView &view, GroupActions &actions)
{
    if (!view.leaseValid) {
        if (step_ == PromotionStep::Fencing || step_ == PromotionStep::Collecting)
            step_ = PromotionStep::Idle;
        return;
    }
    switch (step_) {
    case PromotionStep::Idle:
        fence(view, actions);
        break;
    case PromotionStep::Fencing:
    case PromotionStep::Collecting:
        collect(view, actions);
        break;
    case PromotionStep::Promoting:
        awaitPromotion(view, actions);
        break;
    case PromotionStep::Recording:
        awaitRecording(view, actions);
        break;
    case PromotionStep::Serving: {
        const auto index = *view.monitor.indexOf(primary_);
        const auto state = view.monitor.state(index, view.writesWaiting, view.now);
        const auto &server = view.monitor.servers()[index];
        if (state == PrimaryState::Failed || (state == PrimaryState::CutOff && mayPromote(view))
            || (server.reachable && server.received.term > row_.term) || mayHandOver(view, server))
            fence(view, actions);
        break;
    }
    }
}

bool PromotionMachine::mayHandOver(const GroupView &view, const ServerStatus &primary) const
{
    if (!primary.leaving || view.now - fencedAt_ < settings_.handoverRetry || !mayPromote(view))
        return false;
    const auto &servers = view.monitor.servers();
    return std::any_of(servers.begin(), servers.end(), [&](const ServerStatus &server) {
        return server.reachable && server.inRecovery && !server.leaving && server.walReceiverContact
               && server.servedPeriod == row_.period
               && (view.confirmations.promotionIsFree() || view.confirmations.isMember(server.vm));
    });
}

void PromotionMachine::fence(const GroupView &view, GroupActions &actions)
{
    step_ = PromotionStep::Fencing;
    fencedAt_ = view.now;
    if (const auto index = view.monitor.indexOf(primary_)) {
        const auto state = view.monitor.state(*index, view.writesWaiting, view.now);
        const bool lost = state == PrimaryState::Failed || state == PrimaryState::CutOff;
        actions.push_back(CloseConnections{primary_, lost});
    }
    actions.push_back(SampleNow{});
}

void PromotionMachine::collect(const GroupView &view, GroupActions &actions)
{
    const Collection collection(view, fencedAt_);
    if (!collection.hasQuorum())
        return;
    step_ = PromotionStep::Collecting;
    const auto *server = collection.findPrimary(false);
    if (!server && collection.primaryIsAbsent()) {
        // Nothing better than a leaving server may be left; then the primary stays.
        const auto *unwanted = collection.findPrimary(true);
        const auto *candidate = collection.findCandidate();
        if (candidate && (!unwanted || !candidate->leaving || collection.isCutOff(*unwanted))) {
            expected_ = candidate->received;
            order(*candidate, view, actions);
            return;
        }
        // Nothing can replace an unwanted primary that alone holds acknowledged writes.
        server = unwanted;
    }
    if (server) {
        const bool recorded = server->servedTerm == server->received.term;
        record(*server, recorded ? 0 : server->forkLsn.value_or(0), view, actions);
    }
}

void PromotionMachine::order(const ServerStatus &server, const GroupView &view,
                             GroupActions &actions)
{
    step_ = PromotionStep::Promoting;
    target_ = server.vm;
    orderedAt_ = view.now;
    ++openOrders_;
    rejected_ = false;
    if (!primary_.empty() && primary_ != target_)
        actions.push_back(CloseConnections{primary_, true});
    actions.push_back(PromoteServer{++lastOrder_, server.vm, server.received});
    actions.push_back(SampleNow{});
}

void PromotionMachine::awaitPromotion(const GroupView &view, GroupActions &actions)
{
    const auto &server = view.monitor.servers()[*view.monitor.indexOf(target_)];
    if (!server.reachable || server.sampledAt < orderedAt_)
        return;
    if (!server.inRecovery) {
        const auto fork = server.forkLsn.value_or(expected_.lsn);
        openOrders_ = 0;
        target_.clear();
        record(server, fork, view, actions);
    } else if (rejected_ || view.now - orderedAt_ >= settings_.promoteTimeout) {
        order(server, view, actions);
    }
}

void PromotionMachine::record(const ServerStatus &server, LogPosition fork, const GroupView &view,
                              GroupActions &actions)
{
    step_ = PromotionStep::Recording;
    primary_ = server.vm;
    row_ = {server.received.term, fork, {view.epoch, ++attempts_}};
    recordedAt_ = view.now;
    actions.push_back(PrepareDatabase{primary_, row_});
}

void PromotionMachine::awaitRecording(const GroupView &view, GroupActions &actions)
{
    const auto index = *view.monitor.indexOf(primary_);
    const auto &server = view.monitor.servers()[index];
    if (view.monitor.state(index, false, view.now) == PrimaryState::Failed
        || (server.reachable && server.received.term > row_.term)) {
        fence(view, actions);
    } else if (view.now - recordedAt_ >= settings_.recordRetry) {
        recordedAt_ = view.now;
        actions.push_back(PrepareDatabase{primary_, row_});
    }
}

TimePoint PromotionMachine::nextDue(TimePoint now) const
{
    auto due = TimePoint::max();
    if (step_ == PromotionStep::Promoting)
        due = orderedAt_ + settings_.promoteTimeout;
    else if (step_ == PromotionStep::Recording)
        due = recordedAt_ + settings_.recordRetry;
    else if (step_ == PromotionStep::Serving)
        due = fencedAt_ + settings_.handoverRetry;
    return due > now ? due : TimePoint::max();
}

void PromotionMachine::promotionFinished(std::uint64_t order, PromotionOutcome outcome)
{
    // With an earlier order open, the server may still be promoted by that one.
    if (step_ != PromotionStep::Promoting || order != lastOrder_
        || outcome != PromotionOutcome::Rejected)
        return;
    rejected_ = true;
    if (openOrders_ != 1)
        return;
    openOrders_ = 0;
    target_.clear();
    step_ = PromotionStep::Collecting;
    fencedAt_ = orderedAt_; // The rejection shows that the samples used are outdated.
}

bool PromotionMachine::databasePrepared(std::string_view vm, std::span<const TermRow> rows,
                                        bool leaseValid)
{
    const bool complete = std::any_of(rows.begin(), rows.end(), [this](const auto &row) {
        return row.term == row_.term && row.period == row_.period;
    });
    if (step_ != PromotionStep::Recording || vm != primary_ || !complete || !leaseValid)
        return false;
    step_ = PromotionStep::Serving;
    return true;
}

} // namespace shallotwalk
