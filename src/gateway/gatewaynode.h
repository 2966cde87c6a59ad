#pragma once

#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <string>

namespace shallotwalk {

/// Times of a shutdown, from the signal.
struct ShutdownTimes
{
    /// The balancer asks once a second and stops sending clients after two refusals.
    Duration closeIdle{std::chrono::milliseconds(2200)};
    Duration closeAll{0}; ///< Open transactions are rolled back.
    Duration exit{0};

    /// For a process that is killed after \a grace. Transactions get the first half of it.
    static ShutdownTimes within(Duration grace);
};

/// What a GatewayNode works with.
struct GatewayNodeContext
{
    caf::actor directory;
    caf::actor sessions;
    ShutdownTimes shutdown;
    std::shared_ptr<const Clock> clock;
};

/// Decides when clients may be sent to this proxy, and takes it out of service on a signal: first
/// it is not ready, then idle sessions close, then the others, then it ends normally.
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

/// Tells the node which actor to watch and to end with itself.
struct WatchTree
{
    caf::actor root;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::WatchTree)
