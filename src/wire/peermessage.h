#pragma once

#include "core/feedmessage.h"
#include "core/membershipmessage.h"
#include "core/ownerupdate.h"
#include "core/promise.h"
#include "core/statement.h"
#include "core/tables.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace shallotwalk {

/// Keeps a connection open; carries nothing. Also stands for messages of a newer version.
struct Heartbeat
{
};

/// First messages of a connection. Each side sends its nonce, then its proof.
struct Hello
{
    std::string vm;
    std::string dataCentre;
    std::int32_t protocolVersion = 0;
    std::string nonce; ///< Random bytes; empty in the message with the proof.
    std::string proof; ///< HMAC-SHA-256 of the peers' key; empty in the message with the nonce.
};

/// A statement to run on the receiving proxy.
struct Forward
{
    std::uint64_t requestId = 0; ///< Chosen by the sender, unique within the connection.
    StatementRequest request;    ///< The codec translates its deadline to remaining time.
};

/// Answer to the Forward with the same request id.
struct ForwardReply
{
    std::uint64_t requestId = 0;
    StatementReply reply;
};

/// Asks a peer for the head of its newest tables.
struct HeadRequest
{
};

/// Head of the newest tables that the sender knows.
struct Head
{
    ConfigurationVersion version = 0;
    std::string content; ///< Value of the head as it is in the store.
};

/// Asks a peer for one part of the tables.
struct PartRequest
{
    std::string hash;
};

/// One part of the tables.
struct Part
{
    std::string hash;
    std::string content; ///< Empty if the sender doesn't have the part.
};

/// A message of the peer protocol.
using PeerMessage = std::variant<Heartbeat, Hello, Forward, ForwardReply, PromiseRequest,
                                 PromiseReply, MembershipMessage, HeadRequest, Head, PartRequest,
                                 Part, OwnerUpdate, FeedRequest, FeedReply>;

} // namespace shallotwalk
