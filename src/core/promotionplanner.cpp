#include "core/promotionplanner.h"

#include <algorithm>
#include <tuple>

namespace shallotwalk {

namespace {

/// Whether \a server is a replica that may confirm commits.
bool mayConfirm(const FailoverCandidate &server)
{
    return !server.primary && !server.demoted && (server.registered || server.runsWithoutEntry);
}

/// Whether enough replicas satisfy \a condition that one of them holds every commit that at least
/// \a confirmReplicas replicas have received. One about which nothing is known may have confirmed
/// any commit.
template<class Condition>
bool coverCommits(std::span<const FailoverCandidate> servers, std::uint32_t confirmReplicas,
                  Condition condition)
{
    std::uint32_t satisfied = 0;
    std::uint32_t missing = 0;
    for (const auto &server : servers) {
        if (mayConfirm(server))
            ++(condition(server) ? satisfied : missing);
    }
    return satisfied > 0 && missing < confirmReplicas;
}

/// The departed replicas that may hold acknowledged commits beyond \a position.
std::vector<std::string> holdersBeyond(std::span<const DepartedReplica> departed, Position position)
{
    std::vector<std::string> holders;
    for (const auto &replica : departed) {
        if (!replica.limit || *replica.limit > position)
            holders.push_back(replica.id.empty() ? "unknown" : replica.id);
    }
    return holders;
}

/// Whether some replica may still receive log data.
bool needsPause(std::span<const FailoverCandidate> servers)
{
    return std::any_of(servers.begin(), servers.end(),
                       [](const auto &server) { return mayConfirm(server) && !server.paused; });
}

} // namespace

PromotionPlanner::PromotionPlanner(const FailoverSettings &settings)
    : settings_(settings)
{
}

bool PromotionPlanner::orderPending(TimePoint now) const
{
    return now < std::max(nextOrderAt_, nextOrderAfterOthersAt_);
}

std::string PromotionPlanner::promotionReason(std::span<const FailoverCandidate> servers,
                                              Duration missingFor) const
{
    const auto primary = std::find_if(servers.begin(), servers.end(),
                                      [](const auto &server) { return server.primary; });
    if (primary == servers.end()) {
        const bool demoted = std::any_of(servers.begin(), servers.end(),
                                         [](const auto &server) { return server.demoted; });
        if (demoted)
            return "primary_demoted";
        return missingFor >= settings_.missingPrimaryLimit ? "no_primary" : "";
    }
    if (!primary->registered)
        return "primary_gone";
    if (primary->leaving)
        return "primary_leaving";
    if (primary->refusedFor >= settings_.refusedLimit)
        return "primary_refuses_connections";
    if (primary->silence >= settings_.silenceLimit)
        return "primary_silent";
    const bool paused = std::any_of(servers.begin(), servers.end(),
                                    [](const auto &server) { return server.paused; });
    if (paused)
        return "replicas_paused";
    return primary->supersededByOrder ? "promotion_unfinished" : "";
}

/// Whether a replica whose entry isn't known yet may have confirmed commits beyond \a position
/// before the primary was demoted.
bool PromotionPlanner::awaitsJoins(std::span<const FailoverCandidate> servers, Position position,
                                   TimePoint now) const
{
    return std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
        return server.demoted && server.received > position
               && now - server.demotedAt < settings_.joinNoticeTime;
    });
}

/// The former primary, which holds every acknowledged commit, if it was demoted and answers.
const FailoverCandidate *
PromotionPlanner::demotedPrimary(std::span<const FailoverCandidate> servers, TimePoint now) const
{
    const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto &server) {
        return server.demoted && server.registered
               && hasRecentReport(server, settings_.maxReportAge, now);
    });
    return found == servers.end() ? nullptr : &*found;
}

/// Whether the replicas that report can be known to hold what departed ones have confirmed. While
/// they aren't paused they may still receive it from a primary that answers.
bool PromotionPlanner::mayCoverDeparted(std::span<const FailoverCandidate> servers,
                                        std::span<const DepartedReplica> departed,
                                        TimePoint now) const
{
    Position longest;
    for (const auto &server : servers) {
        if (!server.primary && server.registered
            && hasRecentReport(server, settings_.maxReportAge, now))
            longest = std::max(longest, server.received);
    }
    return longest >= logFloor_ && holdersBeyond(departed, longest).size() < confirmReplicas_;
}

/// Whether the primary still answers and hasn't been asked, or hasn't had the time, to stop
/// acknowledging commits.
bool PromotionPlanner::awaitsDemotion(std::span<const FailoverCandidate> servers,
                                      TimePoint now) const
{
    const auto primary = std::find_if(servers.begin(), servers.end(),
                                      [](const auto &server) { return server.primary; });
    if (primary == servers.end() || !primary->registered || primary->demotionRefused
        || primary->silence >= settings_.suspicionLimit || primary->refusedFor > Duration::zero())
        return false;
    return !primary->demotionWantedAt
           || now - *primary->demotionWantedAt < settings_.demotionTimeout;
}

bool PromotionPlanner::hasRecentReport(const FailoverCandidate &server, Duration maxReportAge,
                                       TimePoint now) const
{
    return server.silence <= settings_.maxReportAge && now - server.reportedAt < maxReportAge;
}

const FailoverCandidate *PromotionPlanner::successor(std::span<const FailoverCandidate> servers,
                                                     TimePoint now) const
{
    // A report that is older than the primary's silence doesn't show that this proxy can still
    // reach the replica.
    auto maxReportAge = settings_.maxReportAge;
    for (const auto &server : servers) {
        // A primary that reports isn't silent, even if its commits wait for replicas.
        const bool reports =
            confirmReplicas_ > 0 && hasRecentReport(server, settings_.maxReportAge, now);
        if (server.primary && server.silence > Duration::zero() && !reports)
            maxReportAge = std::min(maxReportAge, server.silence);
    }
    const FailoverCandidate *best = nullptr;
    for (const auto &server : servers) {
        // Where replicas confirm commits, a leaving one may be chosen: holding every acknowledged
        // commit matters more than staying.
        const bool usable = !server.primary && !server.demoted && server.registered
                            && !server.mayHaveForked
                            && (confirmReplicas_ > 0 ? server.paused : !server.leaving)
                            && hasRecentReport(server, maxReportAge, now);
        // Ties go to the lowest id, so that all proxies choose the same server.
        const auto rank = [](const FailoverCandidate &candidate) {
            return std::tuple(candidate.received, !candidate.leaving);
        };
        if (usable
            && (best == nullptr || rank(*best) < rank(server)
                || (rank(*best) == rank(server) && server.id < best->id)))
            best = &server;
    }
    return best;
}

void PromotionPlanner::setAgreement(std::size_t agreeing, std::size_t witnesses)
{
    witnessesAgree_ = 2 * agreeing >= witnesses;
}

FailoverStep PromotionPlanner::review(std::span<const FailoverCandidate> servers,
                                      Duration missingFor, TimePoint now,
                                      std::span<const DepartedReplica> departed) const
{
    auto step = decide(servers, missingFor, now, departed);
    if (orderPending(now)) {
        step.server = {};
        step.position = {};
        step.demotePrimary = false;
        step.blockedBy.clear();
    }
    return step;
}

FailoverStep PromotionPlanner::decide(std::span<const FailoverCandidate> servers,
                                      Duration missingFor, TimePoint now,
                                      std::span<const DepartedReplica> departed) const
{
    FailoverStep step;
    step.reason = promotionReason(servers, missingFor);
    const bool serving = step.reason == "primary_leaving" || step.reason == "replicas_paused"
                         || step.reason == "promotion_unfinished";
    const bool reasonCertain =
        serving || step.reason == "primary_gone" || step.reason == "primary_demoted";
    const bool silent = std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
        return server.primary
               && (server.silence >= settings_.suspicionLimit
                   || server.refusedFor > Duration::zero());
    });
    step.reportSuspicion = !reasonCertain && (silent || !step.reason.empty());
    if (step.reason.empty())
        return step;
    step.suspected = !serving;
    step.requestReports = true;
    if (!reasonCertain && !witnessesAgree_)
        return step;
    // A pause ends with a restart of the replica, so only a recent report shows it.
    const auto isPaused = [&](const auto &server) {
        return server.paused && hasRecentReport(server, settings_.maxReportAge, now);
    };
    if (confirmReplicas_ > 0) {
        // A replica that joins while an order is pending must be paused too. With too few reachable
        // replicas a pause would block commits without allowing a promotion.
        step.pauseReplicas =
            needsPause(servers) && mayCoverDeparted(servers, departed, now)
            && (std::any_of(servers.begin(), servers.end(), isPaused)
                || coverCommits(servers, confirmReplicas_, [&](const auto &server) {
                       return hasRecentReport(server, settings_.maxReportAge, now);
                   }));
        if (!coverCommits(servers, confirmReplicas_, isPaused))
            return step;
    }
    const auto *best = successor(servers, now);
    if (best == nullptr)
        return step;
    if (awaitsJoins(servers, best->received, now))
        return step;
    if (confirmReplicas_ > 0) {
        step.blockedBy = holdersBeyond(departed, best->received);
        const bool reachesFloor = best->received >= logFloor_;
        if (!reachesFloor)
            step.blockedBy.emplace_back("last_promotion");
        if (reachesFloor && step.blockedBy.size() < confirmReplicas_) {
            step.blockedBy.clear();
        } else if (const auto *former = demotedPrimary(servers, now)) {
            // The paused replicas can't receive what they lack, but the former primary holds it.
            step.blockedBy.clear();
            best = former;
        } else {
            step.demotePrimary = awaitsDemotion(servers, now);
            return step;
        }
    }
    step.demotePrimary = confirmReplicas_ > 0 && awaitsDemotion(servers, now);
    if (step.demotePrimary)
        return step;
    step.server = best->id;
    step.position = best->received;
    return step;
}

} // namespace shallotwalk
