#include "core/groupscheduler.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Idle time after which a connection beyond this proxy's share is closed, because other proxies
/// may need it more.
constexpr Duration idleBurstLimit = std::chrono::milliseconds(300);

/// Idle time after which a control connection is closed.
constexpr Duration idleControlLimit = std::chrono::milliseconds(1000);

} // namespace

bool GroupScheduler::reachable(const ServerLink &link, TimePoint now) const
{
    if (link.openConnections() > 0)
        return true;
    return !keepsConnections() && !link.failing()
           && now >= link.budget.retryAt(link.registration.id);
}

void GroupScheduler::setConnections(const ConnectionAllotment &allotment, TimePoint now)
{
    allotment_ = allotment;
    for (auto &[number, link] : servers_) {
        link.budget.setLimit(allotment_.share);
        link.budget.setLongestOpenFailureDelay(allotment_.longestRetryDelay);
    }
    tick(now);
}

void GroupScheduler::closeSurplusConnections(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr)
        return;
    std::size_t limit = std::max(allotment_.share, allotment_.burst);
    if (!usable(*link, now))
        limit = monitored(*link, now) ? 1 : 0;
    const std::size_t kept = keepsConnections() ? 1 : 0;
    std::vector<ConnectionId> closed;
    std::vector<ConnectionId> closedControl;
    for (const auto &[id, connection] : link->connections) {
        if (connection.control) {
            const bool unused = connection.open && connection.replies.empty();
            if (unused && (limit == 0 || now - connection.lastUsed >= idleControlLimit))
                closedControl.push_back(id);
            continue;
        }
        const auto remaining = link->requestConnections() - closed.size();
        const bool surplus = remaining > limit;
        const auto idleLimit = remaining > allotment_.share
                                   ? std::min(idleBurstLimit, allotment_.idleLimit)
                                   : allotment_.idleLimit;
        if (!surplus && (remaining <= kept || now - connection.lastUsed < idleLimit))
            continue;
        if (connection.idle() && link->budget.take(id))
            closed.push_back(id);
    }
    closed.insert(closed.end(), closedControl.begin(), closedControl.end());
    for (const auto id : closed)
        closeIdleConnection({number, id}, now);
    if (!link->registered && link->connections.empty() && !mayReturn(*link, now))
        servers_.erase(number);
}

bool GroupScheduler::mayBurst(const ServerLink &link, TimePoint now) const
{
    return allotment_.burst > link.requestConnections() && now >= link.burstRefusedUntil;
}

std::size_t GroupScheduler::connectionLimit(const ServerLink &link, TimePoint now) const
{
    // With at most one request waiting for each connection that holds no transaction, the requests
    // are served before a new connection could be opened.
    const bool needed = link.policy->queued() > link.capacity().total;
    return needed && mayBurst(link, now) ? allotment_.burst : allotment_.share;
}

void GroupScheduler::openConnection(ServerNumber number, ConnectionId id, TimePoint now)
{
    auto &link = servers_.at(number);
    auto &connection = link.connections[id];
    constexpr auto kind = ExpectedReply::Opening;
    connection.replies.sent({&kind, 1}, now);
    link.commandsSent(now);
    connection.lastUsed = now;
    ++counters_.connectionsOpened;
    port_.openConnection({number, id}, link.registration, connection.team);
}

void GroupScheduler::closeIdleConnection(ServerConnectionKey key, TimePoint now)
{
    auto &link = servers_.at(key.server);
    port_.closeConnection(key);
    link.connections.erase(key.connection);
    link.budget.closed(key.connection, false, now);
    recordDeparture(link, now);
}

void GroupScheduler::keepConnected(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr)
        return;
    std::vector<ServerConnectionKey> stuck;
    for (const auto &[id, connection] : link->connections) {
        if (connection.replies.empty() || connection.request)
            continue;
        if (now - connection.replies.oldest().sentAt > settings_.openTimeout)
            stuck.push_back({number, id});
    }
    for (const auto &key : stuck) {
        link->connectionFailed(now);
        abortConnection(key, "no answer to a command of the proxy", now);
    }
    // A server that has failed, or still owes a reply, is tried again without a request: it gets no
    // requests until it answers.
    const bool wanted =
        keepsConnections() || link->failing() || link->silence(now) > Duration::zero();
    if (!wanted || link->requestConnections() > 0 || !monitored(*link, now))
        return;
    const auto step = link->budget.acquire(link->registration.id, now);
    if (const auto *opening = std::get_if<OpenConnection>(&step))
        openConnection(number, opening->id, now);
}

/// The earliest time at which a request could be sent to a server.
TimePoint GroupScheduler::earliestStart(const ServerLink &link, TimePoint now) const
{
    if (link.openConnections() > 0)
        return now;
    return std::max(now, link.budget.retryAt(link.registration.id));
}

/// Whether a connection to a server can be open when half of the time to \a deadline is left; the
/// admission policy bounds the wait for an open connection in the same way.
bool GroupScheduler::opensInTime(const ServerLink &link, TimePoint deadline, TimePoint now) const
{
    if (link.openConnections() > 0 || keepsConnections())
        return true;
    const auto wait = earliestStart(link, now) - now + link.openingTime;
    return 2 * wait < deadline - now;
}

/// The earliest time at which a request could be sent to any server.
TimePoint GroupScheduler::earliestStart(TimePoint now) const
{
    auto earliest = TimePoint::max();
    for (const auto &[number, link] : servers_) {
        if (usable(link, now))
            earliest = std::min(earliest, earliestStart(link, now));
    }
    return earliest;
}

} // namespace shallotwalk
