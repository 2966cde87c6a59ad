#include "wire/socketconnect.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace shallotwalk {

bool startConnect(int descriptor, const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1)
        return ::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
               || errno == EINPROGRESS;
    sockaddr_in6 address6{};
    address6.sin6_family = AF_INET6;
    address6.sin6_port = htons(port);
    if (::inet_pton(AF_INET6, host.c_str(), &address6.sin6_addr) != 1) {
        errno = EINVAL;
        return false;
    }
    return ::connect(descriptor, reinterpret_cast<sockaddr *>(&address6), sizeof(address6)) == 0
           || errno == EINPROGRESS;
}

int openConnectingSocket(const std::string &host, std::uint16_t port, int userTimeoutMs)
{
    const int family = host.find(':') == std::string::npos ? AF_INET : AF_INET6;
    const int descriptor = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    if (!startConnect(descriptor, host, port)) {
        const int error = errno;
        ::close(descriptor);
        errno = error;
        return -1;
    }
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    return descriptor;
}

} // namespace shallotwalk
