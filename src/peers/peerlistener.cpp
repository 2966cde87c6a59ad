#include "peers/peerlistener.h"

#include "supervision/logvalue.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

/// A node has a few hundred peer connections; more indicate a fault.
constexpr std::size_t maxConnections = 1024;
/// As for outbound connections; see peerconnector.cpp.
constexpr int userTimeoutMs = 5000;

} // namespace

PeerListener::PeerListener(Actor *self)
    : self_(self)
{
}

caf::behavior PeerListener::open(PeerListenerOptions options)
{
    options_ = std::move(options);
    const auto *host = options_.host.empty() ? nullptr : options_.host.c_str();
    const auto doorman = self_->add_tcp_doorman(options_.port, host, true);
    if (!doorman) {
        spdlog::error("event=listen_failed listener=peers address={}:{} error={}", options_.host,
                      options_.port, logValue(self_->system().render(doorman.error())));
        self_->quit(doorman.error());
        return {};
    }
    port_ = doorman->second;
    spdlog::info("event=listening listener=peers address={}:{}", options_.host, port_);
    self_->set_down_handler([this](const caf::down_msg &) { --connections_; });
    return {
        [this](const caf::io::new_connection_msg &message) { accept(message.handle); },
        [](const caf::io::acceptor_closed_msg &) {},
        [this](const UsePeersActor &message) { options_.connection.peers = message.peers; },
        [this](const SetPeerHandlers &handlers) { options_.connection.handlers = handlers; },
        [this](ListenerPortRequest) { return ListenerPort{port_}; },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) {
            boost::json::object state;
            state["port"] = port_;
            state["connections"] = connections_;
            state["refused"] = refused_;
            return StateDump{std::move(state)};
        },
    };
}

void PeerListener::accept(caf::io::connection_handle handle)
{
    const auto descriptor = static_cast<int>(handle.id());
    if (connections_ >= maxConnections) {
        ++refused_;
        ::shutdown(descriptor, SHUT_RDWR);
        self_->close(handle);
        return;
    }
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    ++connections_;
    self_->monitor(self_->fork(inboundPeerConnection, handle, options_.connection));
}

caf::behavior peerListener(PeerListener::Actor *self, const PeerListenerOptions &options)
{
    return self->state.open(options);
}

} // namespace shallotwalk
