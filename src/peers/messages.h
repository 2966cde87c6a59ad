#pragma once

#include "core/feedmessage.h"
#include "core/ownerupdate.h"
#include "core/promise.h"
#include "core/statement.h"
#include "core/tables.h"
#include "wire/peermessage.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace shallotwalk {

/// Asks the peers actor to have \c request run by the proxy on \c vm. The answer is a
/// StatementReply; an unreachable peer gives ErrorCode::PeerUnreachable.
struct ForwardStatement
{
    std::string vm;
    StatementRequest request;
};

/// Tells the peers actor that \c database has a new owner. Forwards to other VMs that still wait
/// for a connection are answered with ErrorCode::NotOwner and this owner.
struct OwnerChanged
{
    std::string database;
    std::string owner;
};

/// Sends a promise request to the proxy on \c vm; unanswered if it is unreachable.
struct SendPromiseRequest
{
    std::string vm;
    PromiseRequest request;
};

/// Sends the answer to a promise request back to the proxy on \c vm.
struct SendPromiseReply
{
    std::string vm;
    PromiseReply reply;
};

/// A promise request that arrived from the proxy on \c vm.
struct PromiseRequestReceived
{
    std::string vm;
    PromiseRequest request;
};

/// A proxy of the fleet as membership sees it.
struct Member
{
    std::string vm;
    std::string host;
    std::uint16_t port = 0;
    std::string dataCentre;
    bool alive = true;
};

/// Asks the membership actor for MembersChanged messages, beginning with the present members.
struct SubscribeMembers
{
    caf::actor subscriber;
};

/// The members of the fleet after a change; this proxy is always among them.
struct MembersChanged
{
    std::vector<Member> members;
};

/// Sets who receives what arrives from peers. Invalid handles drop it; forwarded statements are
/// then refused with "did not run". To be sent again after a restart of the peers actor.
struct SetPeerHandlers
{
    caf::actor statements;    ///< Gets ExecuteStatement and answers with a StatementReply.
    caf::actor promises;      ///< Gets PromiseRequestReceived and PromiseReply.
    caf::actor configuration; ///< Gets ConfigurationMessageReceived and NewerConfiguration.
    caf::actor owners;        ///< Gets OwnerUpdate.
    caf::actor feed = {};     ///< Gets FeedMessageReceived and PeerConnectionLost.
};

/// Messages by which configuration actors exchange versions of the tables.
using ConfigurationMessage = std::variant<HeadRequest, Head, PartRequest, Part>;

/// Sends a configuration message to the proxy on \c vm; lost if it is unreachable.
struct SendConfigurationMessage
{
    std::string vm;
    ConfigurationMessage message;
};

/// A configuration message that arrived from the proxy on \c vm.
struct ConfigurationMessageReceived
{
    std::string vm;
    ConfigurationMessage message;
};

/// Messages between the feed actors of a data centre.
using FeedMessage = std::variant<FeedRequest, FeedReply>;

/// Sends a message to the feed of the proxy on \c vm; lost if it is unreachable.
struct SendFeedMessage
{
    std::string vm;
    FeedMessage message;
};

/// A message that arrived from the feed of the proxy on \c vm.
struct FeedMessageReceived
{
    std::string vm;
    FeedMessage message;
};

/// A connection to the proxy on \c vm has ended or could not be established.
struct PeerConnectionLost
{
    std::string vm;
};

/// The proxy on \c vm knows a higher version of the tables than this proxy has announced.
struct NewerConfiguration
{
    std::string vm;
    ConfigurationVersion version = 0;
};

/// Tells the membership actor which version of the tables is in force here.
struct AnnounceConfiguration
{
    ConfigurationVersion version = 0;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ForwardStatement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::OwnerChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SendPromiseRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SendPromiseReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromiseRequestReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromiseRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromiseReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::OwnerUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SubscribeMembers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::MembersChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SetPeerHandlers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SendConfigurationMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConfigurationMessageReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SendFeedMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedMessageReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerConnectionLost)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::NewerConfiguration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::AnnounceConfiguration)
