#include "gatewayactors/slowserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwalk {

SlowServer::SlowServer(std::vector<std::string> pieces, std::chrono::milliseconds pause)
    : pieces_(std::move(pieces))
    , pause_(pause)
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address); // NOLINT: required by the socket API.
    if (::bind(listener_, generic, size) != 0 || ::listen(listener_, 1) != 0
        || ::getsockname(listener_, generic, &size) != 0)
        throw std::runtime_error("cannot open a listening socket on the loopback address");
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { serve(); });
}

SlowServer::~SlowServer()
{
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void SlowServer::serve()
{
    const int client = ::accept(listener_, nullptr, nullptr);
    if (client < 0)
        return;
    char request[4096];
    while (::recv(client, request, sizeof(request), 0) > 0) {
        for (const auto &piece : pieces_) {
            std::this_thread::sleep_for(pause_);
            ::send(client, piece.data(), piece.size(), MSG_NOSIGNAL);
        }
    }
    ::close(client);
}

} // namespace shallotwalk
