#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace shallotwalk {

/// A datagram that has arrived at a DatagramSocket.
struct DatagramReceived
{
    std::string host; ///< IP address of the sender.
    std::vector<char> bytes;
};

/// UDP socket that belongs to one broker. Used instead of CAF's datagram servants, which keep a
/// handle for each address that ever sent something. All methods must be called on the thread of
/// CAF's network multiplexer, where brokers run.
class DatagramSocket
{
public:
    /// Binds to \a host and \a port. \a owner gets a DatagramReceived for each datagram of up to
    /// \a maxBytes; longer ones are dropped. Returns null, with errno set, if that fails.
    static std::unique_ptr<DatagramSocket> open(caf::actor_system &system, const std::string &host,
                                                std::uint16_t port, std::size_t maxBytes,
                                                const caf::actor &owner);

    /// Closes the socket.
    ~DatagramSocket();

    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends one datagram, without blocking. Returns false, with errno set, if it was dropped.
    bool send(const std::string &host, std::uint16_t port, std::span<const char> bytes);

private:
    class Reader;

    explicit DatagramSocket(Reader *reader)
        : reader_(reader)
    {
    }

    Reader *reader_; ///< Deletes itself once the multiplexer has removed it.
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DatagramReceived)
