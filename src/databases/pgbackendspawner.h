#pragma once

#include "databases/backendspawner.h"
#include "wire/wire.h"

#include <memory>

namespace shallotwalk {

/// Starts the actors that talk to PostgreSQL servers, each with a thread of its own.
class PgBackendSpawner : public BackendSpawner
{
public:
    /// \a resultBytes bounds the result of a statement.
    explicit PgBackendSpawner(std::shared_ptr<const Clock> clock,
                              std::size_t resultBytes = defaultResultBytes);

    caf::actor spawnConnection(caf::event_based_actor *parent, const Pool &pool,
                               const BackendServer &server, Epoch epoch, ConnectionId id,
                               std::shared_ptr<const Interrupt> interrupt) override;
    caf::actor spawnMonitor(caf::event_based_actor *parent, const Pool &pool,
                            const BackendServer &server, Epoch epoch) override;

private:
    std::shared_ptr<const Clock> clock_;
    std::shared_ptr<SqlConnector> connector_;
    std::size_t resultBytes_;
};

} // namespace shallotwalk
