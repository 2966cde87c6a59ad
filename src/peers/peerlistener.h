#pragma once

#include "peers/peerconnection.h"

#include <caf/io/broker.hpp>

#include <cstdint>
#include <string>

namespace shallotwalk {

/// Address on which peers connect.
struct PeerListenerOptions
{
    std::string host;       ///< Numeric address; empty for all.
    std::uint16_t port = 0; ///< 0: the kernel chooses.
    PeerConnectionOptions connection;
};

/// State and behaviour of the broker that accepts connections of peers and forks an actor for
/// each. It fails if it can't listen. All methods run on the broker's own thread.
class PeerListener
{
public:
    using Actor = caf::stateful_actor<PeerListener, MailboxClosingBroker>;

    explicit PeerListener(Actor *self);

    /// Begins to listen and returns the broker's behaviour.
    caf::behavior open(PeerListenerOptions options);

private:
    void accept(caf::io::connection_handle handle);

    Actor *self_;
    PeerListenerOptions options_;
    std::uint16_t port_ = 0;
    std::size_t connections_ = 0;
    std::uint64_t refused_ = 0;
};

/// Behaviour of a listener, for spawn_broker().
caf::behavior peerListener(PeerListener::Actor *self, const PeerListenerOptions &options);

} // namespace shallotwalk
