#pragma once

#include "core/connectionbudget.h"
#include "databases/messages.h"
#include "wire/interrupt.h"

#include <caf/actor.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// The connections of one database, the requests that run on them and their budget. It sends to the
/// BackendConnections, but reads no answers; its database actor reports those. Not thread-safe.
class ConnectionPool
{
public:
    explicit ConnectionPool(const ConnectionBudgetSettings &settings);

    /// Finds a connection to \a server for a request, and closes an idle one to another server if
    /// that is needed. After OpenConnection the caller starts the connection and calls add().
    ConnectionStep acquire(std::string_view server, TimePoint now);

    /// The connection \a id has been started.
    void add(ConnectionId id, caf::actor actor, std::shared_ptr<Interrupt> interrupt);

    /// Runs \a request as \a work on a connection that acquire() or a transaction gave.
    void run(ConnectionId id, WorkId work, const StatementRequest &request);

    /// Takes the work that runs on \a id away from it, if there is any.
    std::optional<WorkId> takeRunning(ConnectionId id);
    std::optional<WorkId> running(ConnectionId id) const;
    const std::map<ConnectionId, WorkId> &running() const { return running_; }

    void opened(ConnectionId id, TimePoint now) { budget_.opened(id, now); }
    void released(ConnectionId id, TimePoint now) { budget_.released(id, now); }
    void retire(ConnectionId id) { budget_.retire(id); }
    void failedToOpen(ConnectionId id, TimePoint now) { budget_.closed(id, true, now); }

    /// Closes a connection after its request in progress.
    void close(ConnectionId id);
    /// Closes a connection without waiting for a request in progress.
    void cut(ConnectionId id);
    void closeAll();

    /// The actor of connection \a id has ended.
    void closed(ConnectionId id, TimePoint now);

    std::optional<ConnectionId> find(const caf::actor_addr &address) const;
    std::vector<ConnectionId> connectionsTo(std::string_view server) const;
    std::string_view serverOf(ConnectionId id) const { return budget_.serverOf(id); }
    TimePoint retryAt(std::string_view server) const { return budget_.retryAt(server); }
    std::uint32_t busyOn(std::string_view server) const;
    std::size_t total() const { return budget_.total(); }
    std::size_t limit() const { return budget_.limit(); }
    void setLimit(std::size_t limit) { budget_.setLimit(limit); }

private:
    struct Connection
    {
        caf::actor actor;
        std::shared_ptr<Interrupt> interrupt;
    };

    ConnectionBudget budget_;
    std::map<ConnectionId, Connection> connections_;
    std::map<ConnectionId, WorkId> running_;
};

} // namespace shallotwalk
