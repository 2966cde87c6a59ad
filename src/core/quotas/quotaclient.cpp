#include "core/quotas/quotaclient.h"

#include "core/quotas/allocatorselection.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace shallotwalk {

namespace {

/// Time constant of the mean of a team's operations.
constexpr Duration rateMemory = std::chrono::seconds(1);

/// Operations per second below which a team without tokens is forgotten.
constexpr double forgottenRate = 0.05;

/// Operations of one team that may wait for tokens.
constexpr std::size_t waitingLimit = 1000;

/// Time before the allocators are asked again while they hold only a part of the fleet's shares.
constexpr Duration askAgainInterval = std::chrono::milliseconds(25);

/// Time for which operations are refused without asking after the quota was found used up.
constexpr Duration exceededHold = std::chrono::milliseconds(20);

/// Shares above which the allocators count as holding those of the whole fleet; some proxies have
/// just joined or are cut off.
constexpr QuotaShare nearlyWhole = wholeQuota / 100 * 85;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// \a time + \a duration, for a time that may be TimePoint::min().
TimePoint after(TimePoint time, Duration duration)
{
    return time == TimePoint::min() ? time : time + duration;
}

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

QuotaClient::QuotaClient(std::string self, std::uint64_t incarnation, TimePoint now,
                         const QuotaSettings &settings)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , settings_(settings)
    , startedAt_(now)
    , chosen_{self_}
    , active_{self_}
{
}

void QuotaClient::setMembers(std::span<const std::string> members, TimePoint now)
{
    const auto size = std::max<std::size_t>(members.size(), 1);
    if (size != members_)
        fleetSizes_.emplace_back(now + settings_.fleetMemory, members_);
    members_ = size;
    chosen_ = selectAllocators(members, settings_.allocators);
    if (chosen_.empty())
        chosen_ = {self_};
    review(now);
}

std::optional<QuotaVerdict> QuotaClient::admit(OperationNumber operation, std::string_view team,
                                               TimePoint now)
{
    const auto [found, isNew] = teams_.try_emplace(std::string(team));
    auto &state = found->second;
    if (isNew)
        state.preferred = rendezvousWeight(team, self_) % settings_.allocators;
    state.rate = rateOf(state, now) + 1 / seconds(rateMemory);
    state.ratedAt = now;
    std::optional<QuotaVerdict> verdict;
    if (state.waiting.empty() && take(state, now))
        verdict = QuotaVerdict::Admitted;
    else if (now < state.exceededUntil || state.waiting.size() >= waitingLimit)
        verdict = QuotaVerdict::Exceeded;
    if (verdict)
        count(*verdict);
    else
        state.waiting.push_back({operation, now + settings_.admissionWait, 0, 0, now});
    return verdict;
}

std::vector<QuotaDecision> QuotaClient::receive(const QuotaReply &reply, TimePoint now)
{
    std::vector<QuotaDecision> decisions;
    const auto known = allocators_.find(reply.sender);
    if (known == allocators_.end())
        return decisions;
    auto &allocator = known->second;
    const auto answered = allocator.unanswered.find(reply.number);
    if (answered == allocator.unanswered.end())
        return decisions; // A repetition, or too late.
    const auto sentAt = answered->second.at;
    allocator.unanswered.erase(allocator.unanswered.begin(), std::next(answered));
    // It has replaced what earlier requests delegated.
    allocator.delegations.erase(allocator.delegations.begin(),
                                allocator.delegations.lower_bound(reply.number));
    if (reply.resigned)
        allocator.delegations.clear();
    allocator.lastReply = ReceiptEcho{reply.incarnation, reply.sentAt, Duration::zero()};
    allocator.lastReplyAt = now;
    allocator.lost = reply.resigned;
    allocator.shares = reply.shares;
    for (const auto &grant : reply.grants)
        takeGrant(grant, reply, sentAt, now, decisions);
    review(now);
    return decisions;
}

void QuotaClient::takeGrant(const QuotaGrant &grant, const QuotaReply &reply, TimePoint sentAt,
                            TimePoint now, std::vector<QuotaDecision> &decisions)
{
    const auto found = teams_.find(grant.team);
    if (found == teams_.end())
        return;
    auto &team = found->second;
    const auto until = sentAt + settings_.tokenLife;
    if (grant.tokens > 0 && until > now)
        team.tokens.push_back({grant.tokens, until});
    bool refused = false;
    std::erase_if(team.waiting, [&](Waiting &waiting) {
        if (take(team, now)) {
            decisions.push_back({waiting.operation, grant.team, QuotaVerdict::Admitted});
            count(QuotaVerdict::Admitted);
            return true;
        }
        if (waiting.askedWith != reply.number)
            return false;
        refused = true;
        waiting.heard = true;
        waiting.askedWith = 0;
        if (++waiting.refusals < active_.size())
            return false; // The next allocator is asked.
        waiting.refusals = 0;
        waiting.askAt = now + askAgainInterval;
        if (!holdWholeFleet())
            return false;
        team.exceededUntil = now + exceededHold;
        decisions.push_back({waiting.operation, grant.team, QuotaVerdict::Exceeded});
        count(QuotaVerdict::Exceeded);
        return true;
    });
    if (refused)
        ++team.preferred;
}

std::vector<QuotaDecision> QuotaClient::expire(TimePoint now)
{
    std::vector<QuotaDecision> decisions;
    for (auto &[name, team] : teams_) {
        dropExpired(team, now);
        while (!team.waiting.empty() && team.waiting.front().until <= now) {
            const auto &waiting = team.waiting.front();
            const auto verdict = waiting.heard ? QuotaVerdict::Exceeded : QuotaVerdict::Unreachable;
            decisions.push_back({waiting.operation, name, verdict});
            count(verdict);
            team.waiting.pop_front();
        }
    }
    std::erase_if(teams_, [&](const auto &entry) {
        const auto &team = entry.second;
        return team.waiting.empty() && team.tokens.empty() && rateOf(team, now) < forgottenRate;
    });
    return decisions;
}

std::vector<QuotaSend> QuotaClient::takeRequests(TimePoint now)
{
    review(now);
    std::vector<QuotaSend> sends;
    for (const auto &name : active_) {
        if (requestDue(name, allocators_[name]) <= now)
            sends.push_back({name, makeRequest(name, now)});
    }
    for (const auto &name : chosen_) {
        auto &allocator = allocators_[name];
        if (!allocator.lost || now < after(allocator.sentAt, settings_.retryInterval))
            continue;
        QuotaRequest probe{self_, incarnation_, ++lastNumber_, {}, 0, {}};
        allocator.unanswered = {{probe.number, Sent{now, 0}}};
        allocator.sentAt = now;
        sends.push_back({name, std::move(probe)});
    }
    counters_.requests += sends.size();
    return sends;
}

TimePoint QuotaClient::nextDue() const
{
    auto due = TimePoint::max();
    for (const auto &name : active_) {
        const auto found = allocators_.find(name);
        due = std::min(due, found == allocators_.end() ? TimePoint::min()
                                                       : requestDue(name, found->second));
    }
    for (const auto &[name, allocator] : allocators_) {
        if (allocator.lost)
            due = std::min(due, after(allocator.sentAt, settings_.retryInterval));
        else if (!allocator.unanswered.empty())
            due = std::min(due, allocator.unanswered.begin()->second.at + settings_.replyTimeout);
    }
    for (const auto &[name, team] : teams_) {
        if (!team.waiting.empty())
            due = std::min(due, team.waiting.front().until);
    }
    return due;
}

std::uint32_t QuotaClient::tokensOf(std::string_view team, TimePoint now) const
{
    std::uint32_t sum = 0;
    if (const auto found = teams_.find(team); found != teams_.end()) {
        for (const auto &tokens : found->second.tokens)
            sum += tokens.until > now ? tokens.count : 0;
    }
    return sum;
}

/// Gives up allocators that don't answer, and takes in those that do again.
void QuotaClient::review(TimePoint now)
{
    while (!fleetSizes_.empty() && fleetSizes_.front().first <= now)
        fleetSizes_.pop_front();
    for (auto &[name, allocator] : allocators_) {
        if (!allocator.lost && !allocator.unanswered.empty()
            && now - allocator.unanswered.begin()->second.at >= settings_.replyTimeout)
            allocator.lost = true;
        std::erase_if(allocator.delegations, [&](const auto &entry) {
            return entry.second.at + settings_.delegation <= now;
        });
    }
    active_.clear();
    for (const auto &name : chosen_) {
        if (!allocators_[name].lost)
            active_.push_back(name);
    }
    if (active_.empty()) {
        active_ = {self_};
        allocators_[self_].lost = false;
    }
    std::erase_if(allocators_, [&](const auto &entry) {
        return !contains(active_, entry.first) && !contains(chosen_, entry.first)
               && entry.second.delegations.empty();
    });
    // What an allocator that is gone was asked for must be asked for again elsewhere.
    for (auto &[name, team] : teams_) {
        for (auto &waiting : team.waiting) {
            const auto asked =
                std::any_of(allocators_.begin(), allocators_.end(), [&](const auto &entry) {
                    return !entry.second.lost
                           && entry.second.unanswered.contains(waiting.askedWith);
                });
            if (waiting.askedWith != 0 && !asked)
                waiting.askedWith = 0;
        }
    }
}

/// The largest share that \a allocator may hold of this proxy.
QuotaShare QuotaClient::heldBy(const Allocator &allocator) const
{
    QuotaShare share = 0;
    for (const auto &[number, sent] : allocator.delegations)
        share = std::max(share, sent.share);
    return share;
}

/// The share to delegate to an allocator now: an equal part of this proxy's, as far as the other
/// allocators don't hold it still.
QuotaShare QuotaClient::shareFor(const std::string &name, TimePoint now)
{
    // What an earlier incarnation of this proxy has delegated has ended by then.
    if (now - startedAt_ < settings_.delegation)
        return 0;
    const auto own = static_cast<QuotaShare>(wholeQuota / fleetSize());
    QuotaShare elsewhere = 0;
    for (const auto &[other, allocator] : allocators_)
        elsewhere += other == name ? 0 : heldBy(allocator);
    const auto part = static_cast<QuotaShare>(own / active_.size());
    return std::min(part, own - std::min(own, elsewhere));
}

std::size_t QuotaClient::fleetSize() const
{
    auto size = members_;
    for (const auto &[end, former] : fleetSizes_)
        size = std::max(size, former);
    return size;
}

const std::string &QuotaClient::preferredBy(const TeamState &team) const
{
    return active_[team.preferred % active_.size()];
}

/// Whether the allocators in use hold the shares of nearly all proxies.
bool QuotaClient::holdWholeFleet() const
{
    QuotaShare sum = 0;
    for (const auto &name : active_) {
        const auto found = allocators_.find(name);
        sum += found == allocators_.end() ? 0 : found->second.shares;
    }
    return sum >= nearlyWhole;
}

TimePoint QuotaClient::askDue(const std::string &name) const
{
    auto due = TimePoint::max();
    for (const auto &[teamName, team] : teams_) {
        if (team.waiting.empty() || preferredBy(team) != name)
            continue;
        for (const auto &waiting : team.waiting) {
            if (waiting.askedWith == 0)
                due = std::min(due, waiting.askAt);
        }
    }
    return due;
}

TimePoint QuotaClient::requestDue(const std::string &name, const Allocator &allocator) const
{
    if (allocator.sentAt == TimePoint::min())
        return TimePoint::min();
    return std::min(allocator.sentAt + settings_.renewal,
                    std::max(askDue(name), allocator.sentAt + settings_.requestInterval));
}

QuotaRequest QuotaClient::makeRequest(const std::string &name, TimePoint now)
{
    auto &allocator = allocators_[name];
    QuotaRequest request;
    request.sender = self_;
    request.incarnation = incarnation_;
    request.number = ++lastNumber_;
    if (allocator.lastReply) {
        request.echo = allocator.lastReply;
        request.echo->age = now - allocator.lastReplyAt;
    }
    request.share = shareFor(name, now);
    request.demands = demandsOf(name, request.number, now);
    allocator.unanswered[request.number] = {now, request.share};
    allocator.delegations[request.number] = {now, request.share};
    allocator.sentAt = now;
    return request;
}

std::vector<QuotaDemand> QuotaClient::demandsOf(const std::string &name, std::uint64_t request,
                                                TimePoint now)
{
    /// Bytes of a demand besides the name.
    constexpr std::size_t countBytes = 8;
    std::vector<std::string_view> names;
    for (const auto &[teamName, team] : teams_) {
        if (preferredBy(team) == name)
            names.push_back(teamName);
    }
    // What has no room now is asked for with the next request.
    std::stable_partition(names.begin(), names.end(), [this](std::string_view teamName) {
        const auto &waiting = teams_.find(teamName)->second.waiting;
        return !waiting.empty() && waiting.back().askedWith == 0;
    });
    std::vector<QuotaDemand> demands;
    std::size_t bytes = 0;
    for (const auto teamName : names) {
        if (bytes + teamName.size() + countBytes > settings_.maxDemandBytes)
            break;
        auto &team = teams_.find(teamName)->second;
        auto demand = demandOf(teamName, team, now);
        if (demand.needed == 0 && demand.expected == 0 && demand.returned == 0)
            continue;
        for (auto &waiting : team.waiting) {
            if (waiting.askedWith == 0)
                waiting.askedWith = request;
        }
        bytes += teamName.size() + countBytes;
        demands.push_back(std::move(demand));
    }
    return demands;
}

QuotaDemand QuotaClient::demandOf(std::string_view name, TeamState &team, TimePoint now)
{
    dropExpired(team, now);
    const auto held = tokensOf(name, now);
    const auto expected =
        static_cast<std::uint32_t>(rateOf(team, now) * seconds(settings_.lookAhead));
    QuotaDemand demand;
    demand.team = name;
    demand.needed = static_cast<std::uint32_t>(
        std::count_if(team.waiting.begin(), team.waiting.end(),
                      [](const Waiting &waiting) { return waiting.askedWith == 0; }));
    demand.expected = expected > held ? expected - held : 0;
    // Tokens for which no operation will come go to other proxies.
    if (team.waiting.empty() && held > expected + 1)
        demand.returned = held - expected - 1;
    for (auto left = demand.returned; left > 0;) {
        auto &oldest = team.tokens.front();
        const auto taken = std::min(left, oldest.count);
        oldest.count -= taken;
        left -= taken;
        if (oldest.count == 0)
            team.tokens.pop_front();
    }
    return demand;
}

bool QuotaClient::take(TeamState &team, TimePoint now)
{
    dropExpired(team, now);
    if (team.tokens.empty())
        return false;
    if (--team.tokens.front().count == 0)
        team.tokens.pop_front();
    return true;
}

double QuotaClient::rateOf(const TeamState &team, TimePoint now) const
{
    return team.rate * std::exp(-seconds(now - team.ratedAt) / seconds(rateMemory));
}

void QuotaClient::dropExpired(TeamState &team, TimePoint now)
{
    std::erase_if(team.tokens, [&](const Tokens &tokens) {
        if (tokens.until > now)
            return false;
        counters_.expired += tokens.count;
        return true;
    });
}

void QuotaClient::count(QuotaVerdict verdict)
{
    switch (verdict) {
    case QuotaVerdict::Admitted:
        ++counters_.admitted;
        break;
    case QuotaVerdict::Exceeded:
        ++counters_.exceeded;
        break;
    case QuotaVerdict::Unreachable:
        ++counters_.unreachable;
        break;
    }
}

} // namespace shallotwalk
