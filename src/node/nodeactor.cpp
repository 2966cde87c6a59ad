#include "node/nodeactor.h"

#include "supervision/logvalue.h"

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

using BeginDrain = caf::atom_constant<caf::atom("drain")>;
using BeginHandover = caf::atom_constant<caf::atom("handover")>;
using EndDrain = caf::atom_constant<caf::atom("drain_end")>;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

NodeActor::NodeActor(caf::actor_config &config, NodeContext context)
    : caf::event_based_actor(config)
    , context_(std::move(context))
    , startedAt_(context_.clock->now())
{
    set_down_handler([this](caf::down_msg &message) { handleDown(message); });
}

caf::behavior NodeActor::make_behavior()
{
    return {
        [this](const WatchRoot &message) {
            root_ = message.root;
            monitor(root_);
            send(context_.configuration, SubscribeTables{this});
        },
        [this](const ChildStarted &message) { childStarted(message); },
        [this](const TablesChanged &message) {
            tablesLoaded_ = true;
            send(context_.members, AnnounceConfiguration{message.tables->version});
        },
        [this](ReadinessRequest) { return readiness(); },
        [this](ShutdownRequest) { beginShutdown(); },
        [this](BeginDrain) { drain(); },
        [this](BeginHandover) { handOver(); },
        [this](EndDrain) {
            spdlog::warn("event=drain_limit_reached limit_ms={}",
                         toMilliseconds(context_.drain.limit));
            quit(caf::exit_reason::user_shutdown);
        },
        [this](StateDumpRequest) {
            return StateDump{boost::json::object{{"ready", readiness().ready},
                                                 {"draining", phase_ != Phase::Running}}};
        },
    };
}

void NodeActor::on_exit()
{
    if (root_)
        send_exit(root_, caf::exit_reason::user_shutdown);
    root_ = nullptr;
    listener_ = nullptr;
    databases_ = nullptr;
    context_ = {};
}

void NodeActor::childStarted(const ChildStarted &message)
{
    if (message.name == peersName) {
        send(message.child, context_.peerHandlers);
        return;
    }
    if (message.name == databasesName)
        databases_ = message.child;
    else if (message.name == callerListenerName)
        listener_ = message.child;
    else
        return;
    monitor(message.child);
    if (phase_ != Phase::Running)
        send(message.child, DrainRequest{});
}

void NodeActor::handleDown(const caf::down_msg &message)
{
    if (root_ && message.source == root_.address()) {
        spdlog::error("event=root_failed reason={}", logValue(system().render(message.reason)));
        quit(caf::exit_reason::unhandled_exception);
        return;
    }
    if (listener_ && message.source == listener_.address())
        listener_ = nullptr;
    if (phase_ == Phase::Draining && !listener_)
        handOver();
    if (databases_ && message.source == databases_.address())
        databases_ = nullptr;
    quitIfDrained();
}

Readiness NodeActor::readiness() const
{
    if (phase_ != Phase::Running)
        return {false, "the proxy is shutting down"};
    if (!tablesLoaded_)
        return {false, "no tables are loaded yet"};
    if (!listener_)
        return {false, "the callers' address is not served"};
    // An operator who restarts the next proxy now would end the leases that need this one's
    // promise.
    if (context_.clock->now() - startedAt_ < context_.promiseDelay)
        return {false, "the owners of databases don't have this proxy's promises yet"};
    return {true, {}};
}

void NodeActor::beginShutdown()
{
    if (phase_ != Phase::Running)
        return;
    phase_ = Phase::Announced;
    spdlog::info("event=shutdown_begins delay_ms={} limit_ms={}",
                 toMilliseconds(context_.drain.delay), toMilliseconds(context_.drain.limit));
    if (listener_)
        send(listener_, AnnounceClose{});
    delayed_send(this, context_.drain.delay, BeginDrain::value);
    delayed_send(this, context_.drain.delay + context_.drain.limit, EndDrain::value);
}

void NodeActor::drain()
{
    phase_ = Phase::Draining;
    if (!listener_)
        return handOver();
    send(listener_, DrainRequest{});
    // Until then requests may arrive on idle connections, which this proxy can still serve.
    delayed_send(this, context_.drain.idle, BeginHandover::value);
}

void NodeActor::handOver()
{
    if (phase_ == Phase::HandingOver)
        return;
    phase_ = Phase::HandingOver;
    if (databases_)
        send(databases_, DrainRequest{});
    quitIfDrained();
}

void NodeActor::quitIfDrained()
{
    if (phase_ != Phase::HandingOver || listener_ || databases_)
        return;
    spdlog::info("event=shutdown_complete");
    quit();
}

} // namespace shallotwalk
