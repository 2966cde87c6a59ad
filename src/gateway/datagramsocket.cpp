#include "gateway/datagramsocket.h"

#include <caf/io/middleman.hpp>
#include <caf/io/network/default_multiplexer.hpp>
#include <caf/io/network/event_handler.hpp>
#include <caf/send.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>

namespace shallotwalk {

namespace {

/// Datagrams that are read at once before other sockets get their turn.
constexpr int readsPerEvent = 64;

std::optional<sockaddr_in> toAddress(const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        errno = EAFNOSUPPORT;
        return std::nullopt;
    }
    return address;
}

} // namespace

/// Reads the socket whenever the multiplexer finds it readable.
class DatagramSocket::Reader : public caf::io::network::event_handler
{
public:
    Reader(caf::io::network::default_multiplexer &multiplexer, int descriptor, std::size_t maxBytes,
           const caf::actor &owner)
        : event_handler(multiplexer, descriptor)
        , owner_(caf::actor_cast<caf::actor_addr>(owner))
        , buffer_(maxBytes + 1)
    {
        activate();
    }

    void close()
    {
        closed_ = true;
        passivate();
    }

    void handle_event(caf::io::network::operation operation) override
    {
        if (operation != caf::io::network::operation::read)
            return;
        for (int i = 0; i < readsPerEvent && !closed_; ++i) {
            sockaddr_in sender{};
            socklen_t senderBytes = sizeof(sender);
            const auto bytes = ::recvfrom(fd(), buffer_.data(), buffer_.size(), MSG_DONTWAIT,
                                          reinterpret_cast<sockaddr *>(&sender), &senderBytes);
            if (bytes < 0)
                return;
            // The buffer has room for one byte more than a valid datagram.
            if (static_cast<std::size_t>(bytes) < buffer_.size())
                deliver(sender, static_cast<std::size_t>(bytes));
        }
    }

    void removed_from_loop(caf::io::network::operation operation) override
    {
        if (operation == caf::io::network::operation::read)
            delete this;
    }

    void graceful_shutdown() override { close(); }

private:
    void deliver(const sockaddr_in &sender, std::size_t bytes)
    {
        std::array<char, INET_ADDRSTRLEN> host{};
        ::inet_ntop(AF_INET, &sender.sin_addr, host.data(), host.size());
        DatagramReceived datagram{host.data(), {}};
        datagram.bytes.assign(buffer_.data(), buffer_.data() + bytes);
        if (const auto owner = caf::actor_cast<caf::actor>(owner_))
            caf::anon_send(owner, std::move(datagram));
    }

    caf::actor_addr owner_; ///< Weak, since the owner owns the socket.
    std::vector<char> buffer_;
    bool closed_ = false;
};

std::unique_ptr<DatagramSocket> DatagramSocket::open(caf::actor_system &system,
                                                     const std::string &host, std::uint16_t port,
                                                     std::size_t maxBytes, const caf::actor &owner)
{
    auto *multiplexer =
        dynamic_cast<caf::io::network::default_multiplexer *>(&system.middleman().backend());
    const auto address = toAddress(host, port);
    if (multiplexer == nullptr || !address)
        return nullptr;
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0) {
        const int error = errno;
        ::close(descriptor);
        errno = error;
        return nullptr;
    }
    return std::unique_ptr<DatagramSocket>(
        new DatagramSocket(new Reader(*multiplexer, descriptor, maxBytes, owner)));
}

DatagramSocket::~DatagramSocket()
{
    reader_->close();
}

bool DatagramSocket::send(const std::string &host, std::uint16_t port, std::span<const char> bytes)
{
    const auto address = toAddress(host, port);
    return address
           && ::sendto(reader_->fd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                       reinterpret_cast<const sockaddr *>(&*address), sizeof(*address))
                  >= 0;
}

} // namespace shallotwalk
