#pragma once

#include "core/failure.h"
#include "core/position.h"
#include "core/sessionstate.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shallotwalk {

/// What a statement does to the data. Only reads may go to replicas and be repeated freely.
enum class Access { Read, Write };

/// What a request asks for.
enum class Operation { Statement, Begin, Commit, Rollback };

/// One request of a caller, independent of the protocol that carried it.
struct StatementRequest
{
    std::string requestId;
    std::string caller;
    std::string service;
    std::string database; ///< Name within the service, as the caller gave it.
    Operation operation = Operation::Statement;
    Access access = Access::Read;
    std::string sql;
    std::vector<std::optional<std::string>> parameters; ///< Empty optionals are SQL nulls.
    std::optional<std::string> requestKey;              ///< Makes a write run at most once.
    std::optional<std::string> transaction; ///< Id of the open transaction it belongs to.
    SessionState session;
    TimePoint deadline;

    // Set by the Router.
    std::string route;
    std::string pool;
};

/// The rows and effects of a statement that ran.
struct StatementResult
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::int64_t affectedRows = 0;
    Position position;  ///< Position that later reads of the session must cover.
    std::string server; ///< VM of the backend server that ran it.
    bool fromReplica = false;
    bool replayed = false;                  ///< Stored answer of an earlier run with the same key.
    std::optional<std::string> transaction; ///< Id of a transaction that has begun.
};

/// Answer to a StatementRequest.
struct StatementReply
{
    std::variant<StatementResult, Failure> outcome;
    /// Set when the session's state went past a fork: the position to which it falls back.
    std::optional<Position> resetPosition;
    /// With ErrorCode::NotOwner, the owner that the answering proxy knows; else empty.
    std::string ownerHint;
};

} // namespace shallotwalk
