#pragma once

#include "core/connectionbudget.h"
#include "core/position.h"
#include "core/tables.h"
#include "wire/interrupt.h"

#include <caf/event_based_actor.hpp>

#include <memory>

namespace shallotwalk {

/// Starts the actors that talk to backend servers on behalf of a database actor.
class BackendSpawner
{
public:
    virtual ~BackendSpawner() = default;

    /// Starts an actor that answers RunRequest; it reports to \a parent. \a interrupt makes it
    /// close its connection and end within 100 ms, also while it waits for the server.
    virtual caf::actor spawnConnection(caf::event_based_actor *parent, const Pool &pool,
                                       const BackendServer &server, Epoch epoch, ConnectionId id,
                                       std::shared_ptr<const Interrupt> interrupt) = 0;

    /// Starts an actor that sends ServerSample messages to \a parent.
    virtual caf::actor spawnMonitor(caf::event_based_actor *parent, const Pool &pool,
                                    const BackendServer &server, Epoch epoch) = 0;
};

} // namespace shallotwalk
