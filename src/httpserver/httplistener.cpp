#include "httpserver/httplistener.h"

#include "supervision/logvalue.h"

#include <linux/filter.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace shallotwalk {

namespace {

/// Makes the kernel drop the packets that open connections to \a listener. Their callers repeat
/// them and are refused once the listener is closed; without this, a connection established
/// between the last accept and the close would be reset. Where the kernel doesn't permit the
/// filter, that interval remains.
void dropNewHandshakes(int listener)
{
    constexpr std::uint32_t flagsOffset = 13; // Of the flags in the TCP header.
    constexpr std::uint32_t synFlag = 0x02;
    std::array<sock_filter, 4> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
    }};
    const sock_fprog filter{program.size(), program.data()};
    if (::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0)
        spdlog::debug("event=handshake_filter_failed errno={}", errno);
}

} // namespace

caf::behavior HttpListener::run(Broker *self, ListenerSettings settings,
                                std::shared_ptr<const HttpConnectionContext> context)
{
    return self->state.start(std::move(settings), std::move(context));
}

caf::behavior HttpListener::start(ListenerSettings settings,
                                  std::shared_ptr<const HttpConnectionContext> context)
{
    settings_ = std::move(settings);
    context_ = std::move(context);
    const auto bound = self_->add_tcp_doorman(settings_.port, settings_.host.c_str(), true);
    if (!bound) {
        spdlog::error("event=listen_failed listener={} address={}:{} error={}", settings_.name,
                      settings_.host, settings_.port,
                      logValue(self_->system().render(bound.error())));
        self_->quit(bound.error());
        return {};
    }
    doorman_ = bound->first;
    port_ = bound->second;
    spdlog::info("event=listening listener={} address={}:{}", settings_.name, settings_.host,
                 bound->second);
    self_->set_down_handler([this](caf::down_msg &message) { handleDown(message); });
    return {
        [this](const caf::io::new_connection_msg &message) { accept(message.handle); },
        [](const caf::io::acceptor_closed_msg &) {},
        [](const caf::io::connection_closed_msg &) {},
        [](const caf::io::new_data_msg &) {},
        [this](AnnounceClose) { announceClose(); },
        [this](DrainRequest) { drain(); },
        [this](MetricsRequest) { return metrics(); },
        [this](StateDumpRequest) {
            return StateDump{boost::json::object{{"port", port_},
                                                 {"connections", connections_.size()},
                                                 {"refused", refused_},
                                                 {"draining", draining_}}};
        },
    };
}

void HttpListener::accept(const caf::io::connection_handle &handle)
{
    if (connections_.size() >= settings_.connectionLimit) {
        ++refused_;
        self_->close(handle);
        return;
    }
    const auto connection = self_->fork(&HttpConnection::run, handle, context_);
    self_->monitor(connection);
    connections_.insert(connection);
    if (closing_)
        self_->send(connection, AnnounceClose{});
}

/// Accepts the connections in the kernel's queue, because closing the listener resets them.
void HttpListener::acceptWaiting()
{
    // In CAF the handle's id is the descriptor.
    const auto listener = static_cast<int>(doorman_.id());
    dropNewHandshakes(listener);
    for (int i = 0; i < SOMAXCONN; ++i) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0)
            accept(self_->add_scribe(descriptor));
        else if (errno != EINTR && errno != ECONNABORTED)
            return;
    }
}

void HttpListener::handleDown(const caf::down_msg &message)
{
    const auto connection = caf::actor_cast<caf::actor>(message.source);
    if (connection) {
        connections_.erase(connection);
    } else {
        std::erase_if(connections_,
                      [&](const caf::actor &entry) { return entry.address() == message.source; });
    }
    quitIfDrained();
}

void HttpListener::announceClose()
{
    closing_ = true;
    for (const auto &connection : connections_)
        self_->send(connection, AnnounceClose{});
}

void HttpListener::drain()
{
    draining_ = true;
    closing_ = true;
    acceptWaiting();
    self_->close(doorman_);
    for (const auto &connection : connections_)
        self_->send(connection, DrainRequest{});
    quitIfDrained();
}

MetricsText HttpListener::metrics() const
{
    const auto labels = "listener=\"" + settings_.name + "\"";
    return {metricText("shallotwalk_connections", "gauge", "Open connections.", connections_.size(),
                       labels)
            + metricText("shallotwalk_connections_refused_total", "counter",
                         "Connections closed at once because of the connection limit.", refused_,
                         labels)};
}

void HttpListener::quitIfDrained()
{
    if (draining_ && connections_.empty())
        self_->quit();
}

} // namespace shallotwalk
