#pragma once

#include "peers/connectionmessages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace shallotwalk {

/// Opens a TCP connection to the numeric address \a host. Blocks the calling thread for at most
/// \a timeout. Returns an invalid descriptor and sets \a error on failure. Thread-safe.
std::shared_ptr<SocketDescriptor> connectSocket(const std::string &host, std::uint16_t port,
                                                Duration timeout, std::string &error);

/// Detached actor that makes one attempt to connect to a peer, sends a ConnectOutcome to
/// \a receiver and ends. The wait is bounded by connectTimeout. To be spawned with caf::detached,
/// because it blocks its thread.
class PeerConnector : public caf::event_based_actor
{
public:
    static constexpr Duration connectTimeout = std::chrono::seconds(1);

    PeerConnector(caf::actor_config &config, std::string link, std::string host, std::uint16_t port,
                  caf::actor receiver);

    caf::behavior make_behavior() override;

private:
    std::string link_;
    std::string host_;
    std::uint16_t port_;
    caf::actor receiver_;
};

} // namespace shallotwalk
