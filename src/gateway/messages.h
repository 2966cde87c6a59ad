#pragma once

#include "gateway/protocols.h"
#include "supervision/messages.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// Asks an HttpCaller to carry out a call. The answer is an HttpCallResult.
struct HttpCallRequest
{
    HttpCall call;
};

/// Outcome of a call.
struct HttpCallResult
{
    HttpResponse response; ///< Status 0: no answer came; the call may have been carried out.
    std::string error;     ///< Why there is no answer.
};

/// The directory's present contents, sent to its subscriber at each change.
struct DirectoryChanged
{
    std::shared_ptr<const OperatorConfiguration> configuration; ///< Null: none was read yet.
    std::shared_ptr<const std::vector<ServerRegistration>> servers;
    std::size_t proxies = 1; ///< Of the fleet, this one included.
};

/// Asks the directory to send its present contents to its subscriber.
struct DirectoryRequest
{
};

/// A promotion has been recorded in the store, by this proxy or another.
struct PromotionRecorded
{
    PromotionRecord record;
};

/// Tells the directory what this proxy thinks of a group's primary.
struct ReportSuspicion
{
    std::string service;
    std::string server; ///< Empty: no primary is known.
    bool suspected = false;
};

/// What the other proxies think of a group's primary: one entry for each that finds it unable to
/// serve.
struct SuspicionsChanged
{
    std::string service;
    std::vector<std::string> servers;
    std::size_t witnesses = 1; ///< Proxies whose view counts.
    bool witness = true;       ///< This proxy is one of them.
};

/// Asks for a promotion.
struct OrderPromotion
{
    PromotionChoice choice;
    /// Of the last record of a promotion that the choice was made with; 0: none. If the store has a
    /// newer one, the choice may bring back what that promotion has rolled back.
    std::int64_t recordRevision = 0;
};

/// An order can't be carried out.
struct PromotionFailed
{
    PromotionChoice choice;
};

/// The servers of one group and this proxy's share of them.
struct GroupConfigured
{
    std::vector<ServerRegistration> servers;
    std::size_t connectionShare = 1;
    std::size_t connectionBurst = 1; ///< For a moment, if the servers accept them.
    Duration transactionIdleLimit{0};
    std::uint32_t confirmReplicas = 0; ///< That must receive a commit before its answer.
};

/// Where sessions find routes and groups.
struct SessionRouting
{
    std::shared_ptr<const Router> router;                  ///< Null: no configuration was read yet.
    std::map<std::string, caf::actor, std::less<>> groups; ///< By pool.
};

struct RoutingChanged
{
    std::shared_ptr<const SessionRouting> routing;
};

/// Asks the manager of the groups for a RoutingChanged.
struct RoutingRequest
{
};

/// Asks a group to run a statement. Its sender gets a StatementFinished.
struct RunStatement
{
    GroupRequest request;
};

struct StatementFinished
{
    RequestNumber number = 0;
    GroupAnswer answer;
};

/// Tells a group that a session's transaction must be rolled back.
struct EndTransaction
{
    SessionNumber session = 0;
};

/// Whether a group, or any of them, can run statements.
struct ServingChanged
{
    std::string pool; ///< Empty: any.
    bool serving = false;
};

/// Tells the sessions to end: at once when they are idle, the others after their transaction.
struct CloseIdleSessions
{
};

/// Tells the sessions to end whatever they are doing.
struct CloseAllSessions
{
};

/// All sessions have ended after CloseIdleSessions.
struct SessionsClosed
{
};

/// Tells the node to leave the fleet and end.
struct LeaveFleet
{
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::HttpCallRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::HttpCallResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DirectoryChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromotionRecorded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ReportSuspicion)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SuspicionsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::OrderPromotion)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromotionFailed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::GroupConfigured)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DirectoryRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RoutingRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RoutingChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RunStatement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StatementFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::EndTransaction)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ServingChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CloseIdleSessions)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CloseAllSessions)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SessionsClosed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::LeaveFleet)
