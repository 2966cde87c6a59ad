#pragma once

#include "peers/socketdescriptor.h"
#include "wire/peermessage.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace shallotwalk {

/// A connector's result: a connected socket for the address \c link, or an error.
struct ConnectOutcome
{
    std::string link;
    std::shared_ptr<SocketDescriptor> descriptor; ///< Null after an error.
    std::string error;
};

/// A connection has authenticated its peer.
struct PeerReady
{
    std::string vm;
    std::string link; ///< Of an outbound connection; else empty.
    caf::actor connection;
};

/// A message that a connection has received, except forwarded statements and their replies.
struct PeerMessageReceived
{
    std::string vm;
    PeerMessage message;
};

/// Sends a message without an answer on a connection; dropped if its buffer is full.
struct WritePeerMessage
{
    PeerMessage message;
};

/// Asks the peers actor to send a message to \c vm. With a host, the address is taken from here;
/// without, from the last MembersChanged. Without a VM name, any VM may answer at the address.
struct SendPeerMessage
{
    std::string vm;
    std::string host;
    std::uint16_t port = 0;
    PeerMessage message;
};

/// Tells an actor of the peers branch the handle of the peers actor, after each of its starts.
struct UsePeersActor
{
    caf::actor peers;
};

/// Tells the peers actor the other actors of its branch.
struct UsePeerParts
{
    caf::actor listener;
    caf::actor membership;
};

/// Asks the listener for its port. The answer is a ListenerPort.
struct ListenerPortRequest
{
};

/// TCP port on which a listener accepts connections.
struct ListenerPort
{
    std::uint16_t port = 0;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConnectOutcome)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerReady)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerMessageReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::WritePeerMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SendPeerMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::UsePeersActor)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::UsePeerParts)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ListenerPortRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ListenerPort)
