#include "core/promotionplanner.h"

#include <algorithm>

namespace shallotwalk {

PromotionPlanner::PromotionPlanner(const FailoverSettings &settings)
    : settings_(settings)
{
}

bool PromotionPlanner::orderPending(TimePoint now) const
{
    return orderedAt_ && now - *orderedAt_ < settings_.orderInterval;
}

void PromotionPlanner::orderFailed(TimePoint now)
{
    orderedAt_ = now + settings_.retryDelay - settings_.orderInterval;
}

std::string PromotionPlanner::reasonAgainst(std::span<const FailoverCandidate> servers,
                                            Duration missingFor) const
{
    const auto primary = std::find_if(servers.begin(), servers.end(),
                                      [](const auto &server) { return server.primary; });
    if (primary == servers.end())
        return missingFor >= settings_.missingLimit ? "no_primary" : "";
    if (!primary->registered)
        return "primary_gone";
    if (primary->leaving)
        return "primary_leaving";
    if (primary->refusedFor >= settings_.refusedLimit)
        return "primary_refuses_connections";
    const bool reachedByOthers = std::any_of(servers.begin(), servers.end(), [](const auto &one) {
        return !one.primary && one.receivedMore;
    });
    const auto limit = reachedByOthers ? settings_.partialSilenceLimit : settings_.silenceLimit;
    return primary->silence >= limit ? "primary_silent" : "";
}

const FailoverCandidate *PromotionPlanner::successor(std::span<const FailoverCandidate> servers,
                                                     TimePoint now) const
{
    const FailoverCandidate *best = nullptr;
    for (const auto &server : servers) {
        const bool usable = !server.primary && server.registered && !server.leaving
                            && server.silence <= settings_.reportAge
                            && now - server.reportedAt <= settings_.reportAge;
        // Among equals the first by id, so that all proxies choose the same one.
        if (usable
            && (best == nullptr || best->received < server.received
                || (best->received == server.received && server.id < best->id)))
            best = &server;
    }
    return best;
}

FailoverStep PromotionPlanner::review(std::span<const FailoverCandidate> servers,
                                      Duration missingFor, TimePoint now) const
{
    FailoverStep step;
    step.reason = reasonAgainst(servers, missingFor);
    if (step.reason.empty())
        return step;
    step.suspected = step.reason != "primary_leaving";
    step.wantsReports = true;
    if (orderPending(now))
        return step;
    if (const auto *best = successor(servers, now))
        step.server = best->id;
    return step;
}

} // namespace shallotwalk
