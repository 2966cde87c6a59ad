#include "core/quotas/quotaallocator.h"

#include <algorithm>
#include <cmath>

namespace shallotwalk {

namespace {

/// Part of what a quota tolerates that is used to hold tokens in reserve. The rest covers
/// operations that are admitted before a window begins and reach a server within it.
constexpr double toleranceUse = 0.5;

/// Tokens are added at this interval at most.
constexpr Duration updateInterval = std::chrono::milliseconds(5);

/// Time after which the bucket of a team without demands is dropped.
constexpr Duration idleLimit = std::chrono::seconds(10);

/// Part of the level that one request may take for operations that are only expected.
constexpr double expectedPart = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

QuotaAllocator::QuotaAllocator(std::string self, std::uint64_t incarnation,
                               const QuotaSettings &settings)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , settings_(settings)
{
}

void QuotaAllocator::setQuotas(std::map<std::string, Quota, std::less<>> quotas)
{
    quotas_ = std::move(quotas);
    std::erase_if(buckets_, [this](const auto &entry) { return !quotas_.contains(entry.first); });
}

std::optional<QuotaReply> QuotaAllocator::receive(const QuotaRequest &request, TimePoint now)
{
    // Without an echo of its own time the allocator can't tell how old the request is.
    const auto &echo = request.echo;
    const bool dated = echo && echo->incarnation == incarnation_ && echo->repliedAt <= now;
    const auto sentAt = dated ? std::min(echo->repliedAt + echo->age, now) : now;
    if (isRepetition(request, dated, sentAt, now))
        return std::nullopt;
    Delegation delegation{request.incarnation, request.number, 0, now, now};
    if (dated && !resigned_) {
        delegation.share = static_cast<double>(std::min(request.share, wholeQuota)) / wholeQuota;
        delegation.until = sentAt + settings_.delegation;
    }
    renew(request.sender, delegation, now);
    if (now - updatedAt_ >= updateInterval)
        update(now);
    QuotaReply reply{self_, incarnation_, request.number, now, resigned_, 0, {}};
    reply.shares = static_cast<QuotaShare>(shares_ * wholeQuota);
    for (const auto &demand : request.demands) {
        if (dated)
            takeBack(demand);
        reply.grants.push_back({demand.team, grant(demand, now)});
    }
    return reply;
}

bool QuotaAllocator::isRepetition(const QuotaRequest &request, bool dated, TimePoint sentAt,
                                  TimePoint now) const
{
    const auto found = delegations_.find(request.sender);
    if (found == delegations_.end())
        return false;
    if (found->second.incarnation == request.incarnation)
        return request.number <= found->second.number;
    // A datagram of an earlier incarnation of the sender, unless it is its first contact.
    return request.echo && (!dated || now - sentAt > settings_.delegation);
}

/// Puts \a renewed in place of the delegation of \a proxy.
void QuotaAllocator::renew(const std::string &proxy, Delegation renewed, TimePoint now)
{
    auto &delegation = delegations_[proxy];
    const bool sameShare = delegation.share == renewed.share && delegation.until >= now;
    if (!sameShare)
        update(now);
    else
        renewed.from = delegation.from; // update() accounts for the time since then.
    delegation = renewed;
    if (!sameShare)
        update(now);
}

void QuotaAllocator::resign()
{
    resigned_ = true;
    for (auto &[proxy, delegation] : delegations_)
        delegation.share = 0;
    shares_ = 0;
    shareSeconds_ = 0;
    buckets_.clear();
}

double QuotaAllocator::shares(TimePoint now)
{
    update(now);
    return shares_;
}

/// Accounts for the shares held since the last update.
void QuotaAllocator::update(TimePoint now)
{
    const double elapsed = seconds(now - updatedAt_);
    updatedAt_ = now;
    double gained = 0;
    double sum = 0;
    for (auto &[proxy, delegation] : delegations_) {
        const auto end = std::min(now, delegation.until);
        if (delegation.share <= 0)
            continue;
        if (end > delegation.from) {
            gained += delegation.share * seconds(end - delegation.from);
            delegation.from = end;
        }
        if (delegation.until > now)
            sum += delegation.share;
    }
    // Proxies that know of fewer members claim larger shares.
    gained = std::min(gained, elapsed);
    sum = std::min(sum, 1.0);
    constexpr double rounding = 1e-9;
    // Shares that have left may have been used elsewhere meanwhile.
    shareSeconds_ = sum < shares_ - rounding ? 0 : shareSeconds_ + gained;
    shares_ = sum;
    for (auto &[team, bucket] : buckets_)
        fill(bucket, quotas_.at(team), gained, now);
    std::erase_if(buckets_,
                  [&](const auto &entry) { return now - entry.second.usedAt > idleLimit; });
}

/// Tokens that may be held in reserve.
double QuotaAllocator::capacityOf(const Quota &quota) const
{
    const double inWindow = quota.operationsPerSecond * seconds(settings_.window) + quota.burst;
    const double tolerated = settings_.toleratedOperations + settings_.toleratedPart * inWindow;
    return std::max(quota.burst, 1.0) + toleranceUse * tolerated;
}

/// Tokens that may be granted within the time in which their operations can fall into one window.
double QuotaAllocator::windowLimitOf(const Quota &quota) const
{
    return capacityOf(quota) + quota.operationsPerSecond * seconds(settings_.window);
}

/// Tokens that a whole quota gains in a second.
double QuotaAllocator::rateOf(const Quota &quota) const
{
    const double span = seconds(settings_.window + settings_.tokenLife);
    const bool steady = shareSeconds_ >= shares_ * span;
    return steady ? windowLimitOf(quota) / span : quota.operationsPerSecond;
}

QuotaAllocator::Bucket &QuotaAllocator::bucketOf(const std::string &team, const Quota &quota,
                                                 TimePoint now)
{
    auto [found, isNew] = buckets_.try_emplace(team);
    auto &bucket = found->second;
    bucket.usedAt = now;
    // What the team has not used while it was idle.
    if (isNew)
        fill(bucket, quota, shareSeconds_, now);
    return bucket;
}

/// Adds the tokens of \a shareSeconds. Tokens in reserve, those granted and possibly unused
/// included, stay below the capacity for the shares that are held.
void QuotaAllocator::fill(Bucket &bucket, const Quota &quota, double shareSeconds,
                          TimePoint now) const
{
    expire(bucket.unused, bucket.unusedTokens, now);
    expire(bucket.inWindow, bucket.windowTokens, now);
    const double limit = capacityOf(quota) * shares_ - bucket.unusedTokens;
    bucket.level += shareSeconds * rateOf(quota);
    bucket.level = std::max(0.0, std::min(bucket.level, limit));
}

void QuotaAllocator::expire(std::deque<Issued> &issued, double &sum, TimePoint now)
{
    while (!issued.empty() && issued.front().until <= now) {
        sum -= issued.front().tokens;
        issued.pop_front();
    }
}

/// Takes back tokens that a proxy returns unused.
void QuotaAllocator::takeBack(const QuotaDemand &demand)
{
    const auto found = buckets_.find(demand.team);
    if (found == buckets_.end())
        return;
    auto &bucket = found->second;
    auto left = demand.returned;
    while (left > 0 && !bucket.unused.empty()) {
        auto &oldest = bucket.unused.front();
        const auto taken = std::min(left, oldest.tokens);
        oldest.tokens -= taken;
        left -= taken;
        bucket.unusedTokens -= taken;
        bucket.level += taken;
        if (oldest.tokens == 0)
            bucket.unused.pop_front();
    }
}

std::uint32_t QuotaAllocator::grant(const QuotaDemand &demand, TimePoint now)
{
    const auto quota = quotas_.find(demand.team);
    if (quota == quotas_.end() || resigned_)
        return 0;
    auto &bucket = bucketOf(quota->first, quota->second, now);
    const double room = windowLimitOf(quota->second) * shares_ - bucket.windowTokens;
    const auto available = std::max(0.0, std::floor(std::min(bucket.level, room)));
    const auto needed = std::min<double>(demand.needed, available);
    const auto expected =
        std::min<double>(demand.expected, std::floor((available - needed) * expectedPart));
    const auto tokens = static_cast<std::uint32_t>(needed + expected);
    if (tokens == 0)
        return 0;
    bucket.level -= tokens;
    bucket.unused.push_back({tokens, now + settings_.tokenLife});
    bucket.unusedTokens += tokens;
    bucket.inWindow.push_back({tokens, now + settings_.window + settings_.tokenLife});
    bucket.windowTokens += tokens;
    return tokens;
}

} // namespace shallotwalk
