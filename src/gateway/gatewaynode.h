#pragma once

#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <string>

namespace shallotwalk {

/// Times of the steps of a shutdown, counted from the signal.
struct ShutdownTimes
{
    /// Closing of idle sessions. By default late enough for the load balancer to have stopped
    /// sending clients: it asks for readiness once a second and stops after two negative answers.
    Duration closeIdle{std::chrono::milliseconds(2200)};
    /// Last moment at which a statement is passed on to a server. Sessions without a statement in
    /// progress are closed; open transactions are rolled back.
    Duration closeAll{0};
    /// Until then statements in progress are awaited. What is left is answered without its outcome.
    Duration abandon{0};
    Duration exit{0}; ///< End of the process, even if sessions remain.

    /// Times for a process that is killed \a grace after the signal. A statement that is passed on
    /// must be answered: closeAll + the time of the statement <= abandon, or else it is answered at
    /// abandon; abandon + the sending of answers <= exit; exit + the end of the process <= grace.
    /// An open transaction has the first half of \a grace.
    static ShutdownTimes within(Duration grace);
};

/// Collaborators and settings of a GatewayNode.
struct GatewayNodeContext
{
    caf::actor directory; ///< Gets LeaveFleet.
    caf::actor quotas;    ///< Gets LeaveFleet.
    caf::actor sessions;  ///< Gets CloseIdleSessions, CloseAllSessions and AbandonStatements.
    ShutdownTimes shutdown;
    std::shared_ptr<const Clock> clock;
};

/// Reports whether this proxy is ready for clients, and shuts it down on a signal: it reports not
/// ready, closes the idle sessions, then the others, and ends normally.
class GatewayNode : public caf::event_based_actor
{
public:
    GatewayNode(caf::actor_config &config, GatewayNodeContext context);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    void beginShutdown();
    Readiness readiness() const;

    GatewayNodeContext context_;
    caf::actor root_;
    bool serving_ = false;
    bool shuttingDown_ = false;
    bool closingSessions_ = false;
};

/// Tells the node its root supervisor. The node monitors it, fails if it ends, and ends it when the
/// node itself ends.
struct MonitorRoot
{
    caf::actor root;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::MonitorRoot)
