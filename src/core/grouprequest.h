#pragma once

#include "core/sqlsession.h"

namespace shallotwalk {

/// How a statement relates to the transaction of its session.
enum class RequestScope {
    Single,           ///< Outside of any transaction.
    BeginTransaction, ///< The first statement of a transaction; it starts the transaction.
    InTransaction,
};

/// The team that a statement belongs to.
struct TeamIdentity
{
    std::string name; ///< Empty: none.
    std::uint32_t priority = 0;
    bool limited = false; ///< Whether the team's operations are limited by a quota.
};

/// A client's statement on its way to a backend server of one group.
struct GroupRequest
{
    RequestNumber number = 0;
    SessionNumber session = 0;
    RequestScope scope = RequestScope::Single;
    bool readOnlyTransaction = false;
    bool readOnly = false; ///< The statement changes no data. False for a commit.
    SessionStatement statement;
    std::optional<PreparedStatement> prepared; ///< Set for an Execute statement.
    std::shared_ptr<const SessionValues> values;

    std::string route;
    TeamIdentity team;
    std::uint32_t weight = 1;
    Duration maxStaleness{0}; ///< Limit on the staleness of reads; 0: reads need the primary.
    Position sessionPosition; ///< Position of the session's last commit.
    TimePoint startedAt;      ///< Arrival of the statement, or of its transaction's begin.
    TimePoint receivedAt;     ///< Arrival of the statement.
    TimePoint deadline;       ///< End of the route's timeout.
    Duration goal{0};         ///< Latency objective of the whole operation; 0: none.

    /// Returns whether the route and the kind of the statement allow a replica to run it.
    bool mayUseReplica() const
    {
        return maxStaleness > Duration::zero()
               && (scope == RequestScope::Single ? readOnly : readOnlyTransaction);
    }
};

/// Outcome of a GroupRequest.
struct GroupAnswer
{
    SessionAnswer answer;
    bool committed = false; ///< A commit or a single write took effect at answer.position.
    std::string server;     ///< The server that answered; empty if none did.
    std::optional<TimePoint> firstSentAt; ///< When it was first sent; empty if it never was.
};

} // namespace shallotwalk
