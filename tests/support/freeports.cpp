#include "support/freeports.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace shallotwalk {

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        if (bind(socket, generic, size) != 0 || getsockname(socket, generic, &size) != 0)
            throw std::runtime_error("no free port");
        sockets.push_back(socket);
        ports.push_back(ntohs(address.sin_port));
    }
    for (const int socket : sockets)
        close(socket);
    return ports;
}

} // namespace shallotwalk
