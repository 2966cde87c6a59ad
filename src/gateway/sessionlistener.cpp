#include "gateway/sessionlistener.h"

#include <spdlog/spdlog.h>

#include <atomic>

namespace shallotwalk {

namespace {

/// Numbers aren't reused when the listener restarts, because groups identify sessions by them.
SessionNumber nextSessionNumber()
{
    static std::atomic<SessionNumber> last{0};
    return ++last;
}

} // namespace

SessionListener::~SessionListener()
{
    for (const auto &session : sessions_)
        caf::anon_send_exit(session, caf::exit_reason::user_shutdown);
}

caf::behavior SessionListener::run(Broker *self, SessionListenerSettings settings,
                                   std::shared_ptr<const SessionContext> context, caf::actor groups,
                                   caf::actor node)
{
    return self->state.start(std::move(settings), std::move(context), groups, std::move(node));
}

caf::behavior SessionListener::start(SessionListenerSettings settings,
                                     std::shared_ptr<const SessionContext> context,
                                     const caf::actor &groups, caf::actor node)
{
    settings_ = std::move(settings);
    context_ = std::move(context);
    node_ = std::move(node);
    const auto bound = self_->add_tcp_doorman(settings_.port, settings_.host.c_str(), true);
    if (!bound) {
        spdlog::error("event=listen_failed listener=clients address={}:{} error={}", settings_.host,
                      settings_.port, logValue(self_->system().render(bound.error())));
        self_->quit(bound.error());
        return {};
    }
    spdlog::info("event=listening listener=clients address={}:{}", settings_.host, bound->second);
    self_->send(groups, RoutingRequest{});
    self_->set_down_handler([this](caf::down_msg &message) {
        std::erase_if(sessions_, [&](const caf::actor &session) {
            return session.address() == message.source;
        });
        reportIfAllClosed();
    });
    return {
        [this](const caf::io::new_connection_msg &message) { accept(message.handle); },
        [](const caf::io::acceptor_closed_msg &) {},
        [](const caf::io::connection_closed_msg &) {},
        [](const caf::io::new_data_msg &) {},
        [this](const RoutingChanged &message) {
            routing_ = message.routing;
            for (const auto &session : sessions_)
                self_->send(session, message);
        },
        [this](AdmissionsLost) {
            for (const auto &session : sessions_)
                self_->send(session, AdmissionsLost{});
        },
        [this](CloseIdleSessions) { closeIdleSessions(); },
        [this](CloseAllSessions) { closeAllSessions(); },
        [this](AbandonStatements) {
            for (const auto &session : sessions_)
                self_->send(session, AbandonStatements{});
        },
        [this](DrainRequest) {
            closeAllSessions();
            self_->quit();
        },
        [this](MetricsRequest) {
            return MetricsText{
                metricText("shallotwalk_sessions", "gauge", "Open sessions.", sessions_.size())
                + metricText("shallotwalk_sessions_accepted_total", "counter",
                             "Sessions since the start.", accepted_)
                + metricText("shallotwalk_sessions_refused_total", "counter",
                             "Sessions over the limit.", refused_)};
        },
        [this](StateDumpRequest) {
            return StateDump{boost::json::object{{"sessions", sessions_.size()},
                                                 {"accepted", accepted_},
                                                 {"refused", refused_},
                                                 {"closing", closing_}}};
        },
    };
}

void SessionListener::accept(const caf::io::connection_handle &handle)
{
    if (sessions_.size() >= settings_.sessionLimit) {
        ++refused_;
        self_->close(handle);
        return;
    }
    const auto session =
        self_->fork(&SessionActor::run, handle, nextSessionNumber(), routing_, context_);
    ++accepted_;
    self_->monitor(session);
    sessions_.insert(session);
    if (closing_)
        self_->send(session, CloseIdleSessions{});
}

void SessionListener::closeIdleSessions()
{
    closing_ = true;
    std::size_t index = 0;
    for (const auto &session : sessions_) {
        const auto delay = settings_.idleClosePeriod * index++ / sessions_.size();
        self_->delayed_send(session, delay, CloseIdleSessions{});
    }
    reportIfAllClosed();
}

void SessionListener::closeAllSessions()
{
    for (const auto &session : sessions_)
        self_->send(session, CloseAllSessions{});
}

void SessionListener::reportIfAllClosed()
{
    if (closing_ && sessions_.empty())
        self_->send(node_, SessionsClosed{});
}

} // namespace shallotwalk
