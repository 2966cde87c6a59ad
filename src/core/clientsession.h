#pragma once

#include "core/grouprequest.h"
#include "core/router.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace shallotwalk {

/// What a statement of a client leads to.
struct SessionStep
{
    std::optional<SessionAnswer> answer = {}; ///< The proxy answers by itself.
    std::optional<GroupRequest> request = {}; ///< Else: to be run by the group of \c pool.
    std::string pool = {};                    ///< Also of rollBackTransaction.
    bool rollBackTransaction = false; ///< The group must roll the session's transaction back.
};

/// The state of one client's session: its transaction, session values, prepared statements and last
/// commit. Values and prepared statements are kept here and reach a server's connection only when a
/// statement needs them; a transaction begins at the server with its first statement. Not
/// thread-safe.
class ClientSession
{
public:
    ClientSession(SessionNumber number, std::string user, std::string database);

    /// Decides on \a statement. A request that it leads to gets \a request as its number and must
    /// be answered with complete() before the next statement. \pre No request is outstanding.
    SessionStep handle(SessionStatement statement, const Router &router, RequestNumber request,
                       TimePoint now);

    /// Takes the outcome of the outstanding request and returns the answer to the client.
    SessionAnswer complete(GroupAnswer outcome);

    SessionNumber number() const { return number_; }
    TransactionState state() const { return state_; }
    bool requestOutstanding() const { return outstanding_; }

    /// Pool of the transaction in progress.
    const std::string &pool() const { return route_.pool; }

private:
    SessionAnswer done() const;
    SessionAnswer failed(AnswerCode code, std::string text) const;
    bool findRoute(const Router &router);
    SessionStep begin(const SessionStatement &statement, const Router &router, TimePoint now);
    SessionStep end(SessionStatement statement, RequestNumber request, TimePoint now);
    SessionStep define(const SessionStatement &statement);
    SessionStep run(SessionStatement statement, const Router &router, RequestNumber request,
                    TimePoint now);
    SessionStep rollBackWith(AnswerCode code, std::string text);
    GroupRequest makeRequest(SessionStatement statement, RequestNumber request, TimePoint now);

    SessionNumber number_;
    StatementRequest target_; ///< What the router needs to know.
    Route route_;             ///< In force since the transaction's begin or the single statement.
    TransactionState state_ = TransactionState::None;
    bool readOnlyTransaction_ = false;
    bool begunAtServer_ = false;
    bool outstanding_ = false;
    TimePoint transactionStart_;
    Position commitPosition_;
    std::optional<Position> seenPosition_; ///< As last told to the client.
    std::shared_ptr<const SessionValues> values_ = std::make_shared<SessionValues>();
    std::map<std::string, PreparedStatement, std::less<>> prepared_;
};

} // namespace shallotwalk
