#pragma once

#include "configuration/messages.h"
#include "frontend/messages.h"
#include "httpserver/messages.h"
#include "peers/messages.h"
#include "supervision/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <string>

namespace shallotwalk {

/// Times of a graceful shutdown.
struct DrainSettings
{
    Duration delay{std::chrono::seconds(3)};  ///< For the balancer to see that it isn't ready.
    Duration idle{std::chrono::seconds(1)};   ///< For requests on connections that are idle.
    Duration limit{std::chrono::seconds(60)}; ///< After it the process ends all the same.
};

/// What the NodeActor needs from the rest of the process.
struct NodeContext
{
    DrainSettings drain;
    /// Time after the start in which this proxy may not have promised to the owners of its
    /// databases: the promise time, in which a started candidate promises nothing, and a renewal.
    Duration promiseDelay{};
    std::shared_ptr<const Clock> clock;
    caf::actor configuration;     ///< Takes SubscribeTables.
    caf::actor members;           ///< Takes AnnounceConfiguration.
    SetPeerHandlers peerHandlers; ///< Sent to the peers actor at each of its starts.
};

/// Names of the children that a shutdown waits for.
inline constexpr std::string_view databasesName = "databases";
inline constexpr std::string_view callerListenerName = "callers";
inline constexpr std::string_view peersName = "peers";

/// Top of the process: watches the root supervisor, answers for readiness and runs the shutdown.
/// It quits normally after a drain, with user_shutdown when the drain limit cut it short, and with
/// the root supervisor's error if that fails. It must get the ChildStarted messages of the
/// supervisors of the databases, the caller listener and the peers actor.
class NodeActor : public caf::event_based_actor
{
public:
    NodeActor(caf::actor_config &config, NodeContext context);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    /// Steps of a shutdown. In Announced the listener still accepts, in Draining the open
    /// connections may bring requests, in HandingOver the databases go to other proxies.
    enum class Phase { Running, Announced, Draining, HandingOver };

    void childStarted(const ChildStarted &message);
    void handleDown(const caf::down_msg &message);
    Readiness readiness() const;
    void beginShutdown();
    void drain();
    void handOver();
    void quitIfDrained();

    NodeContext context_;
    caf::actor root_;
    caf::actor listener_;
    caf::actor databases_;
    bool tablesLoaded_ = false;
    Phase phase_ = Phase::Running;
    TimePoint startedAt_;
};

/// Gives the NodeActor the root supervisor, which it watches from then on.
struct WatchRoot
{
    caf::actor root;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::WatchRoot)
