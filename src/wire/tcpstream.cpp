#include "wire/tcpstream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <limits>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwalk {

namespace {

/// An IP number and port in the form of the socket calls.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

TimePoint bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(
        std::chrono::seconds(time.tv_sec)
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

Failure systemFailure(std::string_view call, int error, Verdict verdict)
{
    return {ErrorCode::ConnectionLost, verdict,
            std::string(call) + ": " + std::generic_category().message(error)};
}

Failure timeoutFailure(std::string_view call, Verdict verdict)
{
    return {ErrorCode::DeadlineExceeded, verdict, std::string(call) + ": deadline exceeded"};
}

/// Waits until the socket is ready. Returns false when the deadline has passed.
bool waitFor(int socket, short events, TimePoint deadline)
{
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - bootTime());
        const auto wait =
            std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max());
        pollfd entry{socket, events, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(wait));
        if (ready > 0 || (ready < 0 && errno != EINTR))
            return true;
        if (ready == 0 && bootTime() >= deadline)
            return false;
    }
}

Result<SocketAddress> parseAddress(std::string_view host, std::uint16_t port)
{
    const std::string text(host);
    SocketAddress address;
    sockaddr_in v4{};
    sockaddr_in6 v6{};
    if (::inet_pton(AF_INET, text.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(port);
        std::memcpy(&address.storage, &v4, sizeof v4);
        address.size = sizeof v4;
    } else if (::inet_pton(AF_INET6, text.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(port);
        std::memcpy(&address.storage, &v6, sizeof v6);
        address.size = sizeof v6;
    } else {
        return boost::leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                              "\"" + text + "\" is not an IP number"});
    }
    return address;
}

} // namespace

TcpStream::~TcpStream()
{
    close();
}

TcpStream::TcpStream(TcpStream &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
{
}

TcpStream &TcpStream::operator=(TcpStream &&other) noexcept
{
    if (this != &other) {
        close();
        socket_ = std::exchange(other.socket_, -1);
    }
    return *this;
}

Result<TcpStream> TcpStream::connect(std::string_view host, std::uint16_t port, TimePoint deadline)
{
    constexpr auto call = "connect";
    BOOST_LEAF_AUTO(address, parseAddress(host, port));
    const auto fail = [](int error) {
        return boost::leaf::new_error(systemFailure(call, error, Verdict::DidNotRun));
    };
    TcpStream stream(
        ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!stream.isOpen())
        return fail(errno);
    const int on = 1;
    ::setsockopt(stream.socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto *target = reinterpret_cast<const sockaddr *>(&address.storage);
    if (::connect(stream.socket_, target, address.size) == 0)
        return stream;
    if (errno != EINPROGRESS)
        return fail(errno);
    if (!waitFor(stream.socket_, POLLOUT, deadline))
        return boost::leaf::new_error(timeoutFailure(call, Verdict::DidNotRun));
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(stream.socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        return fail(error);
    return stream;
}

Result<std::size_t> TcpStream::readSome(std::span<char> buffer, TimePoint deadline)
{
    constexpr auto call = "read";
    for (;;) {
        const auto size = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (size >= 0)
            return static_cast<std::size_t>(size);
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN)
            return boost::leaf::new_error(systemFailure(call, errno, Verdict::MayHaveRun));
        if (!waitFor(socket_, POLLIN, deadline))
            return boost::leaf::new_error(timeoutFailure(call, Verdict::MayHaveRun));
    }
}

bool TcpStream::waitReadable(TimePoint deadline) const
{
    return waitFor(socket_, POLLIN, deadline);
}

Result<void> TcpStream::writeAll(std::string_view data, TimePoint deadline)
{
    constexpr auto call = "write";
    auto verdict = Verdict::DidNotRun;
    while (!data.empty()) {
        const auto size = ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
        if (size >= 0) {
            verdict = Verdict::MayHaveRun;
            data.remove_prefix(static_cast<std::size_t>(size));
        } else if (errno == EAGAIN) {
            if (!waitFor(socket_, POLLOUT, deadline))
                return boost::leaf::new_error(timeoutFailure(call, verdict));
        } else if (errno != EINTR) {
            return boost::leaf::new_error(systemFailure(call, errno, verdict));
        }
    }
    return {};
}

bool TcpStream::isStale() const
{
    pollfd entry{socket_, POLLIN, 0};
    return ::poll(&entry, 1, 0) != 0;
}

void TcpStream::close()
{
    if (isOpen())
        ::close(std::exchange(socket_, -1));
}

} // namespace shallotwalk
