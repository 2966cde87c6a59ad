#include "gateway/gatewaynode.h"

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

using CloseIdle = caf::atom_constant<caf::atom("closeidle")>;
using CloseAll = caf::atom_constant<caf::atom("closeall")>;
using Abandon = caf::atom_constant<caf::atom("abandon")>;
using Exit = caf::atom_constant<caf::atom("exit")>;

/// Limits on the time that the process needs to end, and before that to send its last answers, each
/// as a part of the grace if that is short. Ending takes longest while the log's reader is stalled.
constexpr Duration maxEndingTime = std::chrono::milliseconds(500);
constexpr int endingPart = 6;
constexpr Duration maxSendingTime = std::chrono::milliseconds(200);
constexpr int sendingPart = 15;

} // namespace

ShutdownTimes ShutdownTimes::within(Duration grace)
{
    ShutdownTimes times;
    times.closeIdle = std::min(times.closeIdle, grace * 3 / 8);
    times.closeAll = grace / 2;
    times.exit = grace - std::min(maxEndingTime, grace / endingPart);
    times.abandon = times.exit - std::min(maxSendingTime, grace / sendingPart);
    return times;
}

GatewayNode::GatewayNode(caf::actor_config &config, GatewayNodeContext context)
    : caf::event_based_actor(config)
    , context_(std::move(context))
{
    set_down_handler([this](caf::down_msg &message) {
        if (!root_ || message.source != root_.address())
            return;
        spdlog::error("event=root_failed reason={}", logValue(system().render(message.reason)));
        quit(caf::exit_reason::unhandled_exception);
    });
}

caf::behavior GatewayNode::make_behavior()
{
    return {
        [this](const MonitorRoot &message) {
            root_ = message.root;
            monitor(root_);
        },
        [this](const ServingChanged &message) {
            serving_ = message.serving;
            spdlog::info("event=readiness_changed ready={} reason={}", readiness().ready,
                         logValue(readiness().reason));
        },
        [this](ReadinessRequest) { return readiness(); },
        [this](ShutdownRequest) { beginShutdown(); },
        [this](CloseIdle) {
            closingSessions_ = true;
            send(context_.sessions, CloseIdleSessions{});
        },
        [this](CloseAll) { send(context_.sessions, CloseAllSessions{}); },
        [this](Abandon) { send(context_.sessions, AbandonStatements{}); },
        [this](SessionsClosed) {
            if (closingSessions_)
                quit();
        },
        [this](Exit) { quit(); },
        [this](StateDumpRequest) {
            return StateDump{boost::json::object{{"ready", readiness().ready},
                                                 {"reason", readiness().reason},
                                                 {"shuttingDown", shuttingDown_}}};
        },
    };
}

void GatewayNode::on_exit()
{
    if (root_)
        send_exit(root_, caf::exit_reason::user_shutdown);
    root_ = nullptr;
    context_ = {};
}

Readiness GatewayNode::readiness() const
{
    if (shuttingDown_)
        return {false, "shutting down"};
    if (!serving_)
        return {false, "no configuration, or no backend server can be reached"};
    return {true, {}};
}

void GatewayNode::beginShutdown()
{
    if (std::exchange(shuttingDown_, true))
        return;
    spdlog::info("event=shutdown_begun");
    send(context_.directory, LeaveFleet{});
    send(context_.quotas, LeaveFleet{});
    delayed_send(this, context_.shutdown.closeIdle, CloseIdle::value);
    delayed_send(this, context_.shutdown.closeAll, CloseAll::value);
    delayed_send(this, context_.shutdown.abandon, Abandon::value);
    delayed_send(this, context_.shutdown.exit, Exit::value);
}

} // namespace shallotwalk
