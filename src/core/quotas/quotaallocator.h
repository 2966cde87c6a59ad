#pragma once

#include "core/quotas/quotamessage.h"
#include "core/quotas/quotasettings.h"
#include "core/teams/team.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Hands out the tokens of teams' quotas to the proxies of a fleet. Each proxy owns an equal
/// share of every quota and delegates it, for a bounded time, in parts to the allocators; an
/// allocator hands out tokens at the rate of the shares that it holds. So the sum over all
/// allocators stays within the quota whatever they know of each other, and none has to be agreed
/// on. A quota bounds the operations of each window; what it allows beyond its rate is handed out
/// only by an allocator that has held its shares for a whole window. It answers the load of many
/// proxies with few operations of one team each, and of one team whose operations arrive at few
/// proxies. State grows with proxies and with active teams, not with their product. Not
/// thread-safe. Times must not decrease from call to call.
class QuotaAllocator
{
public:
    /// \a self is this proxy. \a incarnation differs between two starts of it.
    QuotaAllocator(std::string self, std::uint64_t incarnation, const QuotaSettings &settings = {});

    /// Sets the quotas by team. A lower quota applies to the next grant.
    void setQuotas(std::map<std::string, Quota, std::less<>> quotas);

    /// Handles \a request. Returns the reply; empty if the request is a repetition or too old.
    std::optional<QuotaReply> receive(const QuotaRequest &request, TimePoint now);

    /// Gives up all shares and takes no further ones. To be called before this proxy stops, so that
    /// the others needn't wait until their delegations end.
    void resign();

    /// Returns the part of all quotas that is delegated to this allocator, 0 to 1.
    double shares(TimePoint now);

    std::size_t delegations() const { return delegations_.size(); }
    std::size_t activeTeams() const { return buckets_.size(); }

private:
    struct Delegation
    {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0; ///< Of its latest request.
        double share = 0;
        TimePoint from;  ///< Up to which it has been accounted for.
        TimePoint until; ///< End of the delegation.
    };

    struct Issued
    {
        std::uint32_t tokens = 0;
        TimePoint until;
    };

    struct Bucket
    {
        double level = 0;
        double unusedTokens = 0;     ///< Sum of unused.
        double windowTokens = 0;     ///< Sum of inWindow.
        std::deque<Issued> unused;   ///< Grants that may be unused, until they expire.
        std::deque<Issued> inWindow; ///< Grants that may be used within one window with the next.
        TimePoint usedAt;
    };

    bool isRepetition(const QuotaRequest &request, bool dated, TimePoint sentAt,
                      TimePoint now) const;
    void renew(const std::string &proxy, Delegation renewed, TimePoint now);
    void update(TimePoint now);
    double capacityOf(const Quota &quota) const;
    double windowLimitOf(const Quota &quota) const;
    double rateOf(const Quota &quota) const;
    Bucket &bucketOf(const std::string &team, const Quota &quota, TimePoint now);
    void fill(Bucket &bucket, const Quota &quota, double shareSeconds, TimePoint now) const;
    static void expire(std::deque<Issued> &issued, double &sum, TimePoint now);
    void takeBack(const QuotaDemand &demand);
    std::uint32_t grant(const QuotaDemand &demand, TimePoint now);

    std::string self_;
    std::uint64_t incarnation_;
    QuotaSettings settings_;
    std::map<std::string, Quota, std::less<>> quotas_;
    std::map<std::string, Delegation, std::less<>> delegations_; ///< By proxy.
    std::map<std::string, Bucket, std::less<>> buckets_;         ///< Of the active teams.
    double shares_ = 0;       ///< Sum of the valid delegations at the last update.
    double shareSeconds_ = 0; ///< Integral of it over time since it last fell.
    TimePoint updatedAt_;
    bool resigned_ = false;
};

} // namespace shallotwalk
