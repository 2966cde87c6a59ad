#include "support/faultlink.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace shallotwalk {

namespace {

constexpr int pollPaceMs = 5; // Resolution of delays.
constexpr std::size_t readSize = 16384;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

const sockaddr *generic(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address); // NOLINT: as the socket calls demand.
}

void configure(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
}

} // namespace

FaultLink::FaultLink(std::uint16_t target)
    : target_(target)
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    auto *result = reinterpret_cast<sockaddr *>(&address); // NOLINT: as the socket calls demand.
    if (::bind(listener_, generic(address), size) != 0 || ::listen(listener_, SOMAXCONN) != 0
        || ::getsockname(listener_, result, &size) != 0)
        throw std::runtime_error("a link has no port");
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { run(); });
}

FaultLink::~FaultLink()
{
    stop_ = true;
    thread_.join();
    for (auto &connection : connections_)
        close(connection, true);
    ::close(listener_);
}

void FaultLink::disturb(Mode mode)
{
    const std::scoped_lock lock(mutex_);
    for (auto &connection : connections_) {
        connection.toTarget.held = mode == Mode::Silent || mode == Mode::CutToTarget;
        connection.toSource.held = mode == Mode::Silent || mode == Mode::CutToSource;
    }
}

void FaultLink::reset()
{
    const std::scoped_lock lock(mutex_);
    for (auto &connection : connections_)
        close(connection, true);
    connections_.clear();
}

void FaultLink::run()
{
    while (!stop_) {
        std::vector<pollfd> descriptors{{listener_, POLLIN, 0}};
        {
            const std::scoped_lock lock(mutex_);
            for (const auto &connection : connections_) {
                for (const auto *direction : {&connection.toTarget, &connection.toSource}) {
                    if (!direction->held)
                        descriptors.push_back({direction->from, POLLIN, 0});
                }
            }
        }
        ::poll(descriptors.data(), descriptors.size(), pollPaceMs);
        const std::scoped_lock lock(mutex_);
        accept();
        const auto now = std::chrono::steady_clock::now();
        for (auto &connection : connections_) {
            for (auto *direction : {&connection.toTarget, &connection.toSource}) {
                if (!direction->held)
                    connection.ended =
                        !read(*direction) || !write(*direction, now) || connection.ended;
            }
            if (connection.ended)
                close(connection, false);
        }
        connections_.remove_if([](const auto &connection) { return connection.ended; });
    }
}

void FaultLink::accept()
{
    for (;;) {
        const int source = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (source < 0)
            return;
        const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(target_);
        if (::connect(target, generic(address), sizeof(address)) != 0) {
            ::close(source);
            ::close(target);
            continue;
        }
        configure(source);
        configure(target);
        connections_.push_back({{source, target, false, {}}, {target, source, false, {}}, false});
    }
}

/// False if the connection has ended and nothing is left to be written.
bool FaultLink::read(Direction &direction)
{
    char buffer[readSize];
    const auto count = ::recv(direction.from, buffer, sizeof(buffer), 0);
    if (count > 0) {
        direction.bytes.emplace_back(std::chrono::steady_clock::now() + delay_.load(),
                                     std::string(buffer, count));
        return true;
    }
    const bool open = count < 0 && (errno == EAGAIN || errno == EINTR);
    return open || !direction.bytes.empty();
}

bool FaultLink::write(Direction &direction, Time now)
{
    while (!direction.bytes.empty() && direction.bytes.front().first <= now) {
        auto &bytes = direction.bytes.front().second;
        const auto count = ::send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        bytes.erase(0, count);
        if (bytes.empty())
            direction.bytes.pop_front();
    }
    return true;
}

void FaultLink::close(Connection &connection, bool reset)
{
    const linger abort{1, 0};
    for (const int socket : {connection.toTarget.from, connection.toTarget.to}) {
        if (reset)
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        ::close(socket);
    }
}

} // namespace shallotwalk
