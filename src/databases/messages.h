#pragma once

#include "core/admissionpolicy.h"
#include "core/connectionbudget.h"
#include "core/groupactions.h"
#include "core/serverstatus.h"
#include "core/statement.h"
#include "core/tables.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// Asks the databases supervisor, and then the actor of one database, to run a routed request.
/// The answer is a StatementReply.
struct ExecuteStatement
{
    StatementRequest request;
};

/// Asks a BackendConnection to run one request. The answer is a RequestFinished to the database
/// actor. A connection runs one request at a time and quits after one that made it unusable; the
/// messages that it hasn't handled by then stay unanswered.
struct RunRequest
{
    WorkId id = 0;
    StatementRequest request;
};

/// A BackendConnection has finished a request.
struct RequestFinished
{
    WorkId id = 0;
    ConnectionId connectionId = 0;
    StatementReply reply;
    bool usable = false;        ///< False: the connection is closed and its actor quits.
    bool inTransaction = false; ///< A transaction begun by Operation::Begin is still open.
    Duration busy{0};           ///< Time that the connection spent on the request.
};

/// A BackendConnection is connected and accepts RunRequest.
struct ConnectionOpened
{
    ConnectionId connectionId = 0;
};

/// A BackendConnection could not connect; its actor quits.
struct ConnectionFailed
{
    ConnectionId connectionId = 0;
    Failure failure;
};

/// Asks a BackendConnection to close its connection and quit. An open transaction rolls back.
struct CloseConnection
{
};

/// State of one backend server as sampled by its ServerMonitor. In \c status, \c leaving and
/// \c busyConnections are not set; \c sampledAt is taken before the query is sent.
struct ServerSample
{
    ServerStatus status;
    /// Age of the last message that a replica's WAL receiver got; empty if it isn't streaming.
    std::optional<Duration> receiverMessageAge;
    std::string error; ///< Why the server is unreachable.
};

/// Outcome of PromoteServer (core/groupactions.h), which the database actor sends to a
/// ServerMonitor.
struct PromotionFinished
{
    std::uint64_t order = 0; ///< Of the PromoteServer action.
    std::string vm;
    PromotionOutcome outcome = PromotionOutcome::Unknown;
    std::string error;
};

/// Asks a ServerMonitor of a primary to terminate the connections of epochs lower than its own, to
/// create shallotwalk's tables if needed and to commit \c row. Answered by DatabasePrepared.
struct RecordTerm
{
    TermRow row;
};

/// Outcome of RecordTerm.
struct DatabasePrepared
{
    std::string vm;
    bool ok = false;
    std::vector<TermRow> terms; ///< All rows of shallotwalk_terms, ordered by term.
    std::string error;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ExecuteStatement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StatementReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RunRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RequestFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConnectionOpened)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConnectionFailed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CloseConnection)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ServerSample)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SampleNow)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromoteServer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromotionFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RecordTerm)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DatabasePrepared)
