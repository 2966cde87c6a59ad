#include "peers/peerconnector.h"

#include "wire/wire.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace shallotwalk {

namespace {

/// The kernel gives up on unacknowledged data after this time, also on a closed socket.
constexpr int userTimeoutMs = 5000;

/// Waits for the attempt to end; returns its errno, or 0 after success.
int awaitConnect(int descriptor, Duration timeout)
{
    pollfd entry{descriptor, POLLOUT, 0};
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const int ready = ::poll(&entry, 1, static_cast<int>(wait));
    if (ready < 0)
        return errno;
    if (ready == 0)
        return ETIMEDOUT;
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

} // namespace

std::shared_ptr<SocketDescriptor> connectSocket(const std::string &host, std::uint16_t port,
                                                Duration timeout, std::string &error)
{
    auto descriptor =
        std::make_shared<SocketDescriptor>(openConnectingSocket(host, port, userTimeoutMs));
    int code = errno;
    if (descriptor->valid())
        code = awaitConnect(descriptor->value(), timeout);
    if (code != 0) {
        error = std::strerror(code); // NOLINT: the text is copied at once.
        return std::make_shared<SocketDescriptor>();
    }
    return descriptor;
}

PeerConnector::PeerConnector(caf::actor_config &config, std::string link, std::string host,
                             std::uint16_t port, caf::actor receiver)
    : caf::event_based_actor(config)
    , link_(std::move(link))
    , host_(std::move(host))
    , port_(port)
    , receiver_(std::move(receiver))
{
}

caf::behavior PeerConnector::make_behavior()
{
    ConnectOutcome outcome{link_, nullptr, {}};
    auto descriptor = connectSocket(host_, port_, connectTimeout, outcome.error);
    if (descriptor->valid())
        outcome.descriptor = std::move(descriptor);
    send(receiver_, std::move(outcome));
    return {}; // An actor without a behaviour ends.
}

} // namespace shallotwalk
