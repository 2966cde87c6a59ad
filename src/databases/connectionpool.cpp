#include "databases/connectionpool.h"

#include <caf/send.hpp>

#include <algorithm>

namespace shallotwalk {

ConnectionPool::ConnectionPool(const ConnectionBudgetSettings &settings)
    : budget_(settings)
{
}

ConnectionStep ConnectionPool::acquire(std::string_view server, TimePoint now)
{
    const auto step = budget_.acquire(server, now);
    if (const auto *idle = std::get_if<CloseIdleConnection>(&step))
        caf::anon_send(connections_.at(idle->id).actor, CloseConnection{});
    return step;
}

void ConnectionPool::add(ConnectionId id, caf::actor actor, std::shared_ptr<Interrupt> interrupt)
{
    connections_.emplace(id, Connection{std::move(actor), std::move(interrupt)});
}

void ConnectionPool::run(ConnectionId id, WorkId work, const StatementRequest &request)
{
    running_[id] = work;
    caf::anon_send(connections_.at(id).actor, RunRequest{work, request});
}

std::optional<WorkId> ConnectionPool::takeRunning(ConnectionId id)
{
    const auto found = running_.extract(id);
    return found.empty() ? std::nullopt : std::optional(found.mapped());
}

std::optional<WorkId> ConnectionPool::running(ConnectionId id) const
{
    const auto found = running_.find(id);
    return found == running_.end() ? std::nullopt : std::optional(found->second);
}

void ConnectionPool::close(ConnectionId id)
{
    budget_.retire(id);
    const auto found = connections_.find(id);
    if (found != connections_.end())
        caf::anon_send(found->second.actor, CloseConnection{});
}

void ConnectionPool::cut(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found != connections_.end())
        found->second.interrupt->raise();
    close(id);
}

void ConnectionPool::closeAll()
{
    for (const auto &[id, connection] : connections_)
        caf::anon_send(connection.actor, CloseConnection{});
    connections_.clear();
}

void ConnectionPool::closed(ConnectionId id, TimePoint now)
{
    connections_.erase(id);
    budget_.closed(id, false, now);
}

std::optional<ConnectionId> ConnectionPool::find(const caf::actor_addr &address) const
{
    const auto found =
        std::find_if(connections_.begin(), connections_.end(),
                     [&](const auto &entry) { return entry.second.actor.address() == address; });
    return found == connections_.end() ? std::nullopt : std::optional(found->first);
}

std::vector<ConnectionId> ConnectionPool::connectionsTo(std::string_view server) const
{
    std::vector<ConnectionId> ids;
    for (const auto &[id, connection] : connections_) {
        if (budget_.serverOf(id) == server)
            ids.push_back(id);
    }
    return ids;
}

std::uint32_t ConnectionPool::busyOn(std::string_view server) const
{
    return static_cast<std::uint32_t>(budget_.busyOn(server));
}

} // namespace shallotwalk
