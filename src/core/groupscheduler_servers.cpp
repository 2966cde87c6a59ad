#include "core/groupscheduler.h"

#include <algorithm>
#include <array>

namespace shallotwalk {

namespace {

/// A leaving primary serves on until its successor does, but not longer. Below the time within
/// which leaving servers must get no more work.
constexpr Duration leavingPrimaryLimit = std::chrono::milliseconds(4000);

} // namespace

std::optional<GroupScheduler::ServerNumber> GroupScheduler::primary() const
{
    const auto found = std::find_if(servers_.begin(), servers_.end(), [](const auto &entry) {
        return entry.second.primary && entry.second.registered;
    });
    if (found == servers_.end())
        return std::nullopt;
    return found->first;
}

bool GroupScheduler::usable(const ServerLink &link, TimePoint now) const
{
    if (!link.registered)
        return false;
    if (!link.leavingSince)
        return true;
    return link.primary && now - *link.leavingSince < leavingPrimaryLimit;
}

bool GroupScheduler::primaryInDoubt(TimePoint now) const
{
    const auto number = primary();
    if (!number || primarySuspected_)
        return true;
    const auto &link = servers_.at(*number);
    return !usable(link, now) || link.silence(now) > settings_.failover.silenceLimit / 2;
}

void GroupScheduler::setServers(std::span<const ServerRegistration> servers, TimePoint now)
{
    std::set<ServerNumber> present;
    for (const auto &registration : servers) {
        const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
            const auto &other = entry.second.registration;
            return other.id == registration.id && other.startedAt == registration.startedAt
                   && other.host == registration.host && other.port == registration.port;
        });
        if (known != servers_.end()) {
            updateServer(known->first, registration, now);
            present.insert(known->first);
            continue;
        }
        const auto number = nextServer_++;
        auto &link =
            servers_.try_emplace(number, registration, settings_.makePolicy(), connectionShare_)
                .first->second;
        link.primary = false;
        if (registration.leaving)
            link.leavingSince = now;
        if (registration.primary && !primary())
            becomePrimary(number, 0, now);
        present.insert(number);
    }
    std::vector<ServerNumber> gone;
    for (const auto &[number, link] : servers_) {
        if (!present.contains(number))
            gone.push_back(number);
    }
    for (const auto number : gone)
        retireServer(number, now);
    if (!primary() && primaryMissingSince_ == TimePoint::max())
        primaryMissingSince_ = now;
    tick(now);
}

void GroupScheduler::updateServer(ServerNumber number, const ServerRegistration &registration,
                                  TimePoint now)
{
    auto &link = servers_.at(number);
    const bool claims = registration.primary && !link.registration.primary;
    const bool resigned = !registration.primary && link.registration.primary;
    link.registration = registration;
    link.registered = true;
    if (!registration.leaving)
        link.leavingSince.reset();
    else if (!link.leavingSince)
        link.leavingSince = now;
    if (claims && !primary())
        becomePrimary(number, link.term, now);
    else if (claims)
        askReports(now); // The terms tell which of the two leads.
    else if (resigned)
        notLeading(link, now);
    if (!usable(link, now))
        requeueFrom(number, now);
}

void GroupScheduler::retireServer(ServerNumber number, TimePoint now)
{
    auto &link = servers_.at(number);
    link.registered = false;
    if (link.primary) {
        notLeading(link, now);
        // A primary that has left the list needs no further proof.
        primaryMissingSince_ = now - settings_.failover.missingLimit;
    }
    requeueFrom(number, now);
    closeSurplus(number, now);
    if (link.connections.empty())
        servers_.erase(number);
}

void GroupScheduler::requeueFrom(ServerNumber number, TimePoint now)
{
    std::vector<RequestNumber> queued;
    for (const auto &[id, pending] : requests_) {
        if (pending.stage == Pending::Stage::Queued && pending.place.server == number)
            queued.push_back(id);
    }
    for (const auto id : queued) {
        servers_.at(number).policy->cancel(id);
        place(requests_.at(id), now);
    }
}

void GroupScheduler::setConnectionShare(std::size_t share, TimePoint now)
{
    connectionShare_ = std::max<std::size_t>(share, 1);
    for (auto &[number, link] : servers_)
        link.budget.setLimit(connectionShare_);
    tick(now);
}

void GroupScheduler::closeSurplus(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr)
        return;
    const std::size_t limit = usable(*link, now) ? connectionShare_ : 0;
    std::vector<ConnectionId> closed;
    for (const auto &[id, connection] : link->connections) {
        if (link->connections.size() - closed.size() <= limit)
            break;
        const bool idle = connection.open && connection.outstanding.empty() && !connection.session
                          && !connection.request;
        if (idle && link->budget.take(id))
            closed.push_back(id);
    }
    for (const auto id : closed) {
        port_.closeConnection({number, id});
        link->connections.erase(id);
        link->budget.closed(id, false, now);
    }
    if (!link->registered && link->connections.empty())
        servers_.erase(number);
}

void GroupScheduler::openConnection(ServerNumber number, ConnectionId id, TimePoint now)
{
    auto &link = servers_.at(number);
    auto &connection = link.connections[id];
    connection.outstanding.push_back({ExpectedReply::Opening, now});
    connection.lastUsed = now;
    ++counters_.connectionsOpened;
    port_.openConnection({number, id}, link.registration);
}

void GroupScheduler::keepConnected(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr || !usable(*link, now))
        return;
    std::vector<ServerConnectionKey> stuck;
    for (const auto &[id, connection] : link->connections) {
        if (connection.outstanding.empty() || connection.request)
            continue;
        const auto &oldest = connection.outstanding.front();
        if (now - oldest.sentAt > settings_.openTimeout)
            stuck.push_back({number, id});
    }
    for (const auto &key : stuck) {
        link->failed(now);
        breakConnection(key, "no answer to a command of the proxy", now);
    }
    if (!link->connections.empty())
        return;
    const auto step = link->budget.acquire(link->registration.id, now);
    if (const auto *opening = std::get_if<OpenConnection>(&step))
        openConnection(number, opening->id, now);
}

bool GroupScheduler::ask(ServerNumber number, std::span<const ServerCommand> commands,
                         std::span<const ExpectedReply> kinds, TimePoint now)
{
    auto &link = servers_.at(number);
    for (auto &[id, connection] : link.connections) {
        const bool idle = connection.open && connection.outstanding.empty() && !connection.session
                          && !connection.request;
        if (!idle || !link.budget.take(id))
            continue;
        send({number, id}, connection, commands, kinds, now);
        return true;
    }
    return false;
}

void GroupScheduler::askReports(TimePoint now)
{
    const ServerCommand command{CommandKind::Status, {}};
    const auto kind = ExpectedReply::Report;
    for (auto &[number, link] : servers_) {
        if (!usable(link, now) || now - link.reportAskedAt < settings_.reportInterval)
            continue;
        if (ask(number, {&command, 1}, {&kind, 1}, now))
            link.reportAskedAt = now;
    }
}

void GroupScheduler::probeIdle(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr || !usable(*link, now))
        return;
    if (!link->primary) {
        if (now - std::max(link->reportAskedAt, link->lastHeard())
            >= settings_.replicaProbeInterval) {
            const ServerCommand command{CommandKind::Status, {}};
            const auto kind = ExpectedReply::Report;
            if (ask(number, {&command, 1}, {&kind, 1}, now))
                link->reportAskedAt = now;
        }
        return;
    }
    // A server that begins a plain transaction leads its group.
    if (now - std::max(watermarks_.newestAt(), link->reportAskedAt)
        < settings_.primaryProbeInterval)
        return;
    const std::array<ServerCommand, 2> commands{ServerCommand{CommandKind::Begin, {}},
                                                ServerCommand{CommandKind::Rollback, {}}};
    constexpr std::array kinds{ExpectedReply::Probe, ExpectedReply::End};
    if (ask(number, commands, kinds, now))
        link->reportAskedAt = now;
}

void GroupScheduler::becomePrimary(ServerNumber number, Term term, TimePoint now)
{
    const auto present = primary();
    if (present == number) {
        servers_.at(number).term = std::max(servers_.at(number).term, term);
        return;
    }
    if (present && servers_.at(*present).term > term)
        return;
    for (auto &[other, link] : servers_)
        link.primary = other == number;
    servers_.at(number).term = std::max(servers_.at(number).term, term);
    primaryMissingSince_ = TimePoint::max();
    clearDoubt();
    placeWaiting(now);
}

void GroupScheduler::clearDoubt()
{
    primarySuspected_ = false;
    suspicion_.clear();
    for (auto &[number, link] : servers_)
        link.receivedInDoubt.reset();
}

std::vector<FailoverCandidate> GroupScheduler::failoverView(TimePoint now) const
{
    std::vector<FailoverCandidate> view;
    for (const auto &[number, link] : servers_) {
        FailoverCandidate candidate;
        candidate.id = link.registration.id;
        candidate.primary = link.primary;
        candidate.registered = link.registered;
        candidate.leaving = link.leavingSince.has_value();
        candidate.silence = link.silence(now);
        candidate.refusedFor = link.refusedFor(now);
        candidate.reportedAt = link.reportedAt;
        candidate.received = link.received;
        candidate.receivedMore = link.receivedInDoubt && *link.receivedInDoubt < link.received;
        view.push_back(candidate);
    }
    return view;
}

void GroupScheduler::reviewPrimary(TimePoint now)
{
    if (servers_.empty())
        return;
    const auto number = primary();
    const auto missingFor =
        primaryMissingSince_ == TimePoint::max() ? Duration::zero() : now - primaryMissingSince_;
    const auto step = planner_.review(failoverView(now), missingFor, now);
    const bool silent = number && primaryInDoubt(now);
    primarySuspected_ = step.suspected;
    suspicion_ = step.reason;
    if (step.wantsReports || silent || !number || planner_.orderPending(now))
        askReports(now);
    else
        clearDoubt();
    if (step.server.empty())
        return;
    planner_.ordered(now);
    ++counters_.promotionsOrdered;
    port_.orderPromotion({settings_.service, step.server, step.reason});
}

void GroupScheduler::promotionSeen(std::string_view server, TimePoint now)
{
    const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.registration.id == server;
    });
    // The order may be old news: a proxy that starts reads the records of all promotions.
    if (known != servers_.end() && !known->second.primary)
        planner_.ordered(now);
}

void GroupScheduler::promotionFailed(std::string_view server, TimePoint now)
{
    const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.registration.id == server;
    });
    if (known != servers_.end())
        known->second.reportedAt = TimePoint{}; // Must report again to be chosen.
    planner_.orderFailed(now);
}

} // namespace shallotwalk
