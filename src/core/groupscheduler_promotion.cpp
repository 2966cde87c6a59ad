#include "core/groupscheduler.h"

#include <algorithm>
#include <utility>

namespace shallotwalk {

namespace {

/// Interval between requests for reports while departed replicas may hold commits of their own.
constexpr Duration departedReviewInterval = std::chrono::milliseconds(250);

/// Time after which replicas that may have left before this proxy knew the group no longer prevent
/// a promotion. Every server that still runs has an entry long before.
constexpr Duration unknownHistoryLimit = std::chrono::seconds(15);

/// Time for which connections to a server that is gone are still attempted.
constexpr Duration returnLimit = std::chrono::seconds(15);

} // namespace

void GroupScheduler::setPrimary(ServerNumber number, Term term, TimePoint now)
{
    const auto present = primary();
    if (term > ledTerm_) {
        if (ledTerm_ > 0)
            departed_.termChanged();
        ledTerm_ = term;
    }
    if (present == number) {
        servers_.at(number).term = std::max(servers_.at(number).term, term);
        return;
    }
    if (present && servers_.at(*present).term > term)
        return;
    for (auto &[other, link] : servers_) {
        link.primary = other == number;
        link.lastPrimary = link.lastPrimary || link.primary;
        link.demoted = false;
        link.demotionWantedAt.reset();
        link.demotionRefused = false;
    }
    servers_.at(number).term = std::max(servers_.at(number).term, term);
    primaryMissingSince_ = TimePoint::max();
    clearSuspicion();
    dispatchWaiting(now);
}

void GroupScheduler::clearSuspicion()
{
    primarySuspected_ = false;
    suspicion_.clear();
}

/// Whether the log of \a link may hold entries that a promotion has rolled back elsewhere: it is
/// longer than the log of the server that was promoted last, belongs to a term before that
/// promotion, and nothing shows that the promotion has not taken place.
bool GroupScheduler::mayHaveForked(const ServerLink &link, TimePoint now) const
{
    const bool fromOldTerm = link.received.term < newestTerm();
    if (!lastPromotion_ || lastPromotion_->position == Position{})
        return fromOldTerm;
    const bool isAhead = link.received > lastPromotion_->position;
    // The choice of a withdrawn order rested on a log that hadn't forked.
    if (fromOldTerm || lastPromotion_->server.empty()
        || lastPromotion_->server == link.registration.id)
        return fromOldTerm && isAhead;
    if (!isAhead || link.received.term > lastPromotion_->position.term)
        return false;
    const auto promoted = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.registration.id == lastPromotion_->server && entry.second.registered;
    });
    // Without the promoted server it could never be decided whether the promotion took place, and
    // the group must not stay without a primary permanently.
    if (promoted == servers_.end())
        return false;
    // If the server has recently reported that it is a replica of the old term, it was not
    // promoted.
    return promoted->second.primary || promoted->second.term > link.received.term
           || now - promoted->second.reportedAt > settings_.failover.maxReportAge;
}

std::vector<FailoverCandidate> GroupScheduler::failoverCandidates(TimePoint now) const
{
    std::vector<FailoverCandidate> view;
    for (const auto &[number, link] : servers_) {
        FailoverCandidate candidate;
        candidate.id = link.registration.id;
        candidate.primary = link.primary;
        candidate.registered = link.registered;
        candidate.runsWithoutEntry = runsWithoutEntry(link);
        candidate.leaving = link.leavingSince.has_value();
        candidate.silence = link.silence(now);
        candidate.refusedFor = link.refusedFor(now);
        candidate.reportedAt = link.reportedAt;
        candidate.received = link.received;
        candidate.mayHaveForked = mayHaveForked(link, now);
        candidate.paused = !link.primary && link.pausedUntilTerm > newestTerm();
        candidate.demoted = link.demoted;
        candidate.demotedAt = link.demotedAt;
        candidate.demotionWantedAt = link.demotionWantedAt;
        candidate.demotionRefused = link.demotionRefused;
        candidate.ledNewestTerm = ledNewestTerm(link);
        candidate.supersededByOrder = link.primary && supersededByOrder(link);
        view.push_back(candidate);
    }
    return view;
}

bool GroupScheduler::ledNewestTerm(const ServerLink &link) const
{
    return !link.primary && link.ledTerm > 0 && link.ledTerm >= newestTerm();
}

void GroupScheduler::reportSuspicion(bool suspected, TimePoint now)
{
    const auto number = primary();
    const std::string server = number ? servers_.at(*number).registration.id : "";
    const bool changed =
        suspected != reportedSuspicion_.has_value() || (suspected && *reportedSuspicion_ != server);
    // A report may be lost, so it is repeated as long as the suspicion holds.
    if (!changed && (!suspected || now - suspicionReportedAt_ < settings_.suspicionInterval))
        return;
    port_.reportSuspicion(suspected ? server : reportedSuspicion_.value_or(""), suspected);
    reportedSuspicion_ = suspected ? std::optional(server) : std::nullopt;
    suspicionReportedAt_ = now;
    updateAgreement();
}

void GroupScheduler::setSuspicions(std::vector<std::string> servers, std::size_t witnesses,
                                   TimePoint now)
{
    suspicions_ = std::move(servers);
    witnesses_ = witnesses;
    updateAgreement();
    reviewPrimary(now);
}

/// Passes to the planner how many witnesses suspect the same primary as this proxy knows, or, like
/// this proxy, know none.
void GroupScheduler::updateAgreement()
{
    const auto number = primary();
    const std::string server = number ? servers_.at(*number).registration.id : "";
    const auto others = std::count(suspicions_.begin(), suspicions_.end(), server);
    planner_.setAgreement(others + (reportedSuspicion_ ? 1 : 0), witnesses_);
}

void GroupScheduler::reviewPrimary(TimePoint now)
{
    if (servers_.empty())
        return;
    const auto number = primary();
    const auto step =
        planner_.review(failoverCandidates(now), primaryMissingFor(now), now, departed_.replicas());
    blockedBy_ = step.blockedBy;
    const bool unavailable = number && primaryUnavailable(now);
    primarySuspected_ = step.suspected;
    suspicion_ = step.reason;
    // While an order is pending, its promotion may have taken place: a pause for the term that
    // follows would block the new primary.
    const bool ordered = planner_.orderPending(now) && lastPromotion_;
    const auto endedTerm = ordered ? lastPromotion_->endedTerm : newestTerm();
    pauseTerm_ = step.pauseReplicas && witness_ ? endedTerm + 1 : 0;
    if (step.server.empty())
        wantDemotion(step.demotePrimary && witness_, now);
    reportSuspicion(step.reportSuspicion && witness_, now);
    if (step.requestReports || unavailable || !number || planner_.orderPending(now))
        requestReports(now);
    else
        clearSuspicion();
    if (step.server.empty() || !witness_)
        return;
    planner_.orderGiven(now);
    choiceMadeAt_ = now;
    ++counters_.promotionsOrdered;
    port_.orderPromotion(
        {settings_.service, step.server, step.position, step.reason, newestTerm(), step.floor});
}

Duration GroupScheduler::primaryMissingFor(TimePoint now) const
{
    return primaryMissingSince_ == TimePoint::max() ? Duration::zero() : now - primaryMissingSince_;
}

Duration GroupScheduler::confirmationDelay(TimePoint now) const
{
    const bool recent = now - choiceMadeAt_ <= settings_.failover.maxReportAge;
    return recent || confirmReplicas_ == 0 ? Duration::zero() : settings_.failover.joinNoticeTime;
}

bool GroupScheduler::confirmsPromotion(std::string_view server, TimePoint now) const
{
    if (now - choiceMadeAt_ <= settings_.failover.maxReportAge)
        return true;
    const auto step =
        planner_.decide(failoverCandidates(now), primaryMissingFor(now), now, departed_.replicas());
    // Where commits don't wait for replicas, a promotion may lose some anyway; it only must be
    // needed still.
    return confirmReplicas_ == 0 ? !step.reason.empty() : step.server == server;
}

void GroupScheduler::recordDeparture(ServerLink &link, TimePoint now)
{
    const bool present = link.registered || link.openConnections() > 0;
    if (confirmReplicas_ == 0 || present || link.departedAt || link.lastPrimary
        || ledNewestTerm(link))
        return;
    link.departedAt = now;
    DepartedReplica replica{link.registration.id, now, std::nullopt, link.received};
    if (link.stoppedUntilTerm > newestTerm())
        replica.limit = link.stoppedAt;
    departed_.add(std::move(replica));
}

bool GroupScheduler::mayReturn(const ServerLink &link, TimePoint now) const
{
    return link.departedAt && now - *link.departedAt < returnLimit && !restarted(link);
}

void GroupScheduler::reviewDeparted(TimePoint now)
{
    if (confirmReplicas_ == 0)
        return;
    if (std::exchange(historyUnknown_, false))
        departed_.addUnknown(now);
    departed_.removeUnknownBefore(now - unknownHistoryLimit);
    const bool unregistered = std::any_of(servers_.begin(), servers_.end(), [](const auto &entry) {
        return !entry.second.registered;
    });
    if ((departed_.replicas().empty() && !unregistered) || !witness_ || now < nextDepartedReview_)
        return;
    nextDepartedReview_ = now + departedReviewInterval;
    requestReports(now);
}

void GroupScheduler::wantDemotion(bool wanted, TimePoint now)
{
    const auto number = primary();
    if (!number)
        return;
    auto &link = servers_.at(*number);
    if (!wanted) {
        // The choice that is being ordered rests on the answer.
        if (planner_.orderPending(now))
            return;
        link.demotionWantedAt.reset();
        link.demotionRefused = false;
    } else if (!link.demotionWantedAt) {
        link.demotionWantedAt = now;
        link.reportRequestedAt = TimePoint{}; // The command isn't delayed by an earlier report.
    }
}

bool GroupScheduler::supersededByOrder(const ServerLink &link) const
{
    return confirmReplicas_ > 0 && lastPromotion_ && !lastPromotion_->server.empty()
           && lastPromotion_->server != link.registration.id
           && link.term <= lastPromotion_->endedTerm;
}

bool GroupScheduler::mayBeRolledBack(const ServerLink &link, Position position) const
{
    return supersededByOrder(link) && position.term <= lastPromotion_->endedTerm
           && position > lastPromotion_->position;
}

bool GroupScheduler::writesMustWait(const GroupRequest &request) const
{
    const bool mayWrite = request.scope == RequestScope::BeginTransaction
                              ? !request.readOnlyTransaction
                              : !request.readOnly;
    const auto number = primary();
    return mayWrite && number && supersededByOrder(servers_.at(*number));
}

void GroupScheduler::promotionSeen(const PromotionRecord &record, TimePoint now)
{
    if (!lastPromotion_)
        lastPromotion_ = record;
    else if (lastPromotion_->revision >= record.revision
             || !mergePromotion(record, *lastPromotion_))
        return;
    // Records of withdrawn orders by older versions have none.
    if (record.floor != Position{})
        floor_.setPromoted(record.floor);
    planner_.setLogFloor(floor_.position());
    if (record.server.empty()) {
        planner_.orderWithdrawn(now);
        return;
    }
    const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.registration.id == record.server;
    });
    // The promotion may be an old one, because a proxy reads the records of all promotions when it
    // starts.
    if (known != servers_.end() && !known->second.primary)
        planner_.orderSeen(now);
    adoptPromotedServer(now);
}

/// If no primary is known, takes the server that was promoted last as the primary. Otherwise this
/// proxy could stay without one, because a promotion that it can't see, for example while the store
/// is unavailable, may have outdated what it knows.
void GroupScheduler::adoptPromotedServer(TimePoint now)
{
    if (primary() || !lastPromotion_ || lastPromotion_->server.empty())
        return;
    for (auto &[number, link] : servers_) {
        if (link.registration.id == lastPromotion_->server && link.registered) {
            setPrimary(number, std::max(link.term, watermarks_.term()), now);
            return;
        }
    }
}

void GroupScheduler::promotionFailed(std::string_view server, TimePoint now)
{
    const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.registration.id == server;
    });
    if (known != servers_.end())
        known->second.reportedAt = TimePoint{}; // Not eligible until it reports again.
    planner_.orderFailed(now);
}

} // namespace shallotwalk
