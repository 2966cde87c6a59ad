#include "core/groupscheduler.h"

#include <algorithm>
#include <utility>

namespace shallotwalk {

void GroupScheduler::startQueuedPerTeam(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    while (link != nullptr && link->policy->queued() > 0) {
        // A connection may take the place of another one even beyond the share.
        link->budget.setLimit(std::max(connectionLimit(*link, now), link->budget.total()));
        if (!link->budget.available(link->registration.id, now)) {
            if (!startOnIdleConnections(number, now))
                return;
            link = find(number);
            continue;
        }
        // A connection can be opened, in place of an idle one if need be.
        auto capacity = link->capacity();
        capacity.total = std::max(capacity.total, capacity.busy + 1);
        const auto next = link->policy->next(capacity, now);
        if (!next)
            return;
        const auto found = requests_.find(*next);
        if (found == requests_.end())
            link->policy->abandoned(*next, now);
        else
            assignConnection(found->second, number, now);
        link = find(number);
    }
}

/// Starts queued requests of the teams that have an idle connection, for use while no connection
/// can be opened. Returns whether one was started.
bool GroupScheduler::startOnIdleConnections(ServerNumber number, TimePoint now)
{
    auto &link = servers_.at(number);
    for (auto &[id, connection] : link.connections) {
        // While one of its replies is being handled, a connection is idle but not free yet.
        if (!connection.idle() || !link.budget.idle(id))
            continue;
        const auto next = link.policy->nextOf(connection.team, link.capacity(), now);
        if (!next)
            continue;
        const auto found = requests_.find(*next);
        if (found == requests_.end()) {
            link.policy->abandoned(*next, now);
            continue;
        }
        link.budget.take(id);
        start(found->second, {number, id}, now);
        return true;
    }
    return false;
}

/// Starts \a pending on an idle connection of its team, or opens one for it.
/// \pre The budget has a connection available.
void GroupScheduler::assignConnection(Pending &pending, ServerNumber number, TimePoint now)
{
    auto &link = servers_.at(number);
    const auto &team = pending.request.team.name;
    auto step = link.budget.acquire(link.registration.id, team, now);
    if (const auto *idle = std::get_if<CloseIdleConnection>(&step)) {
        closeIdleConnection({number, idle->id}, now);
        step = link.budget.acquire(link.registration.id, team, now);
    }
    if (const auto *usable = std::get_if<UseConnection>(&step)) {
        start(pending, {number, usable->id}, now);
    } else if (const auto *opening = std::get_if<OpenConnection>(&step)) {
        pending.stage = Pending::Stage::Connecting;
        pending.target = {number, opening->id};
        auto &connection = link.connections[opening->id];
        connection.team = team;
        connection.reservedFor = pending.request.number;
        openConnection(number, opening->id, now);
    } else {
        link.policy->abandoned(pending.request.number, now);
        pending.stage = Pending::Stage::AwaitingServer;
        awaitingServer_.push_back(pending.request.number);
    }
}

/// Ends the claim of \a pending on the connection that is being opened for it. The opening goes on,
/// and the connection then serves any request of the same team.
void GroupScheduler::releaseReservation(Pending &pending, TimePoint now)
{
    if (pending.stage != Pending::Stage::Connecting)
        return;
    if (auto *connection = find(pending.target))
        connection->reservedFor.reset();
    if (auto *link = find(pending.target.server))
        link->policy->abandoned(pending.request.number, now);
    pending.stage = Pending::Stage::AwaitingServer;
}

/// Starts the request for which a connection was opened.
void GroupScheduler::startReserved(ServerConnectionKey key, TimePoint now)
{
    const auto reserved = std::exchange(find(key)->reservedFor, std::nullopt);
    const auto found = reserved ? requests_.find(*reserved) : requests_.end();
    if (found != requests_.end() && find(key.server)->budget.take(key.connection))
        start(found->second, key, now);
}

} // namespace shallotwalk
