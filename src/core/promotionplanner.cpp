#include "core/promotionplanner.h"

#include <algorithm>
#include <tuple>

namespace shallotwalk {

namespace {

/// Stands in FailoverStep::blockedBy for the servers whose logs reach the log floor.
constexpr std::string_view floorHolder = "acknowledged_log";

/// Whether \a server is a replica that may confirm commits.
bool mayConfirm(const FailoverCandidate &server)
{
    return !server.primary && !server.demoted && !server.ledNewestTerm
           && (server.registered || server.runsWithoutEntry);
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

/// Adds the departed replicas that may hold acknowledged commits beyond \a position to \a holders.
void addHoldersBeyond(std::span<const DepartedReplica> departed, Position position,
                      std::vector<std::string> &holders)
{
    for (const auto &replica : departed) {
        if (!replica.limit || *replica.limit > position)
            holders.push_back(replica.id.empty() ? "unknown" : replica.id);
    }
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

/// The former primary of the newest term, which holds every acknowledged commit, if it answers as a
/// replica.
const FailoverCandidate *
PromotionPlanner::demotedPrimary(std::span<const FailoverCandidate> servers, TimePoint now) const
{
    const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto &server) {
        return (server.demoted || server.ledNewestTerm) && !server.primary && server.registered
               && hasRecentReport(server, settings_.maxReportAge, now);
    });
    return found == servers.end() ? nullptr : &*found;
}

/// Whether a replica is known to receive nothing more. A pause ends with a restart of the replica,
/// so only a recent report shows it.
bool PromotionPlanner::isPaused(const FailoverCandidate &server, TimePoint now) const
{
    return server.paused && hasRecentReport(server, settings_.maxReportAge, now);
}

/// The position beyond which the log of a replica holds no acknowledged commit; empty while that
/// isn't known.
std::optional<Position> PromotionPlanner::holdsAtMost(const FailoverCandidate &server,
                                                      TimePoint now) const
{
    if (!isPaused(server, now))
        return std::nullopt;
    // What the last promotion has rolled back isn't acknowledged.
    const bool rolledBack = server.mayHaveForked && logFloor_ != Position{};
    return rolledBack ? std::min(server.received, logFloor_) : server.received;
}

/// The replicas, other than \a chosen, that may hold acknowledged commits which it lacks: those
/// that can't be chosen, but have confirmed commits, count like those that can.
std::vector<std::string> PromotionPlanner::holdersBeyond(std::span<const FailoverCandidate> servers,
                                                         std::span<const DepartedReplica> departed,
                                                         const FailoverCandidate &chosen,
                                                         TimePoint now) const
{
    std::vector<std::string> holders;
    for (const auto &server : servers) {
        if (&server == &chosen || !mayConfirm(server))
            continue;
        const auto most = holdsAtMost(server, now);
        if (!most || *most > chosen.received)
            holders.emplace_back(server.id);
    }
    addHoldersBeyond(departed, chosen.received, holders);
    return holders;
}

/// The replicas that may hold acknowledged commits which none of those that report and can be
/// chosen is going to hold, unless it receives them from a primary that answers.
std::vector<std::string>
PromotionPlanner::unreachableHolders(std::span<const FailoverCandidate> servers,
                                     std::span<const DepartedReplica> departed, TimePoint now) const
{
    Position longest;
    for (const auto &server : servers) {
        if (!server.primary && server.registered
            && hasRecentReport(server, settings_.maxReportAge, now))
            longest = std::max(longest, server.received);
    }
    std::vector<std::string> holders;
    for (const auto &server : servers) {
        if (mayConfirm(server) && !server.registered && server.received > longest)
            holders.emplace_back(server.id);
    }
    addHoldersBeyond(departed, longest, holders);
    if (longest < logFloor_)
        holders.emplace_back(floorHolder);
    return holders;
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

/// Whether enough replicas may hold a commit for it to have been acknowledged, or the logs of all
/// servers to promote end before the log floor.
bool PromotionPlanner::preventChoice(std::span<const std::string> holders) const
{
    return holders.size() >= confirmReplicas_
           || std::find(holders.begin(), holders.end(), floorHolder) != holders.end();
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
                            && (confirmReplicas_ == 0 || !server.ledNewestTerm)
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
    if (confirmReplicas_ > 0) {
        const auto paused = [&](const auto &server) { return isPaused(server, now); };
        step.blockedBy = unreachableHolders(servers, departed, now);
        // A replica that joins while an order is pending must be paused too. With too few reachable
        // replicas a pause would block commits without allowing a promotion.
        step.pauseReplicas =
            needsPause(servers) && !preventChoice(step.blockedBy)
            && (std::any_of(servers.begin(), servers.end(), paused)
                || coverCommits(servers, confirmReplicas_, [&](const auto &server) {
                       return hasRecentReport(server, settings_.maxReportAge, now);
                   }));
        if (!coverCommits(servers, confirmReplicas_, paused)) {
            if (!preventChoice(step.blockedBy))
                step.blockedBy.clear();
            return step;
        }
        step.blockedBy.clear();
    }
    const auto *best = successor(servers, now);
    if (best == nullptr)
        return step;
    if (awaitsJoins(servers, best->received, now))
        return step;
    // No replica holds an acknowledged commit beyond the longest of the paused ones.
    step.floor = std::max(best->received, logFloor_);
    if (confirmReplicas_ > 0) {
        step.blockedBy = holdersBeyond(servers, departed, *best, now);
        if (best->received < logFloor_)
            step.blockedBy.emplace_back(floorHolder);
        if (!preventChoice(step.blockedBy)) {
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
