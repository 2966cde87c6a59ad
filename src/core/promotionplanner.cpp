#include "core/promotionplanner.h"

#include <algorithm>

namespace shallotwalk {

PromotionPlanner::PromotionPlanner(const FailoverSettings &settings)
    : settings_(settings)
{
}

bool PromotionPlanner::orderPending(TimePoint now) const
{
    return now < std::max(nextOrderAt_, nextOrderAfterOthersAt_);
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
    return primary->silence >= settings_.silenceLimit ? "primary_silent" : "";
}

const FailoverCandidate *PromotionPlanner::successor(std::span<const FailoverCandidate> servers,
                                                     TimePoint now) const
{
    // A report from before the primary fell silent doesn't show that this proxy still reaches the
    // replica.
    auto reportAge = settings_.reportAge;
    for (const auto &server : servers) {
        if (server.primary && server.silence > Duration::zero())
            reportAge = std::min(reportAge, server.silence);
    }
    const FailoverCandidate *best = nullptr;
    for (const auto &server : servers) {
        const bool usable = !server.primary && server.registered && !server.leaving
                            && !server.mayHaveForked && server.silence <= settings_.reportAge
                            && now - server.reportedAt < reportAge;
        // Among equals the first by id, so that all proxies choose the same one.
        if (usable
            && (best == nullptr || best->received < server.received
                || (best->received == server.received && server.id < best->id)))
            best = &server;
    }
    return best;
}

void PromotionPlanner::setAgreement(std::size_t agreeing, std::size_t proxies)
{
    agreed_ = 2 * agreeing >= proxies;
}

FailoverStep PromotionPlanner::review(std::span<const FailoverCandidate> servers,
                                      Duration missingFor, TimePoint now) const
{
    FailoverStep step;
    step.reason = reasonAgainst(servers, missingFor);
    const bool known = step.reason == "primary_leaving" || step.reason == "primary_gone";
    const bool silent = std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
        return server.primary
               && (server.silence >= settings_.suspicionLimit
                   || server.refusedFor > Duration::zero());
    });
    step.reportSuspicion = !known && (silent || !step.reason.empty());
    if (step.reason.empty())
        return step;
    step.suspected = step.reason != "primary_leaving";
    step.wantsReports = true;
    if (orderPending(now) || (!known && !agreed_))
        return step;
    if (const auto *best = successor(servers, now)) {
        step.server = best->id;
        step.position = best->received;
    }
    return step;
}

} // namespace shallotwalk
