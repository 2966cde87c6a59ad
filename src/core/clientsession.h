#pragma once

#include "core/grouprequest.h"
#include "core/router.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace shallotwalk {

/// Outcome of a client's statement. Has either an answer or a request.
struct SessionStep
{
    std::optional<SessionAnswer> answer = {}; ///< The proxy's own answer.
    std::optional<GroupRequest> request = {}; ///< Request that the group of \c pool must run.
    std::string pool = {};            ///< Pool of the request or of the transaction to roll back.
    bool rollBackTransaction = false; ///< The group must roll back the session's transaction.
};

/// The state of one client's session: its transaction, session values, prepared statements and the
/// position of its last commit. Session values and prepared statements are sent on a server's
/// connection only when a statement needs them, and a transaction is begun at the server together
/// with its first statement. Not thread-safe.
class ClientSession
{
public:
    /// \a key is the digest of the key that the client gave, if it gave one.
    ClientSession(SessionNumber number, std::string database,
                  std::optional<KeyDigest> key = std::nullopt);

    /// Checks whether the session may be opened: returns the error, or nothing. Each operation is
    /// checked again, so that a change of the configuration applies from the next one on.
    std::optional<SessionAnswer> refusal(const Router &router);

    /// Handles \a statement. If it must run on a server, the returned request has the number
    /// \a request, and its outcome must be passed to complete() before the next statement.
    /// \pre No request is outstanding.
    SessionStep handle(SessionStatement statement, const Router &router, RequestNumber request,
                       TimePoint now);

    /// Updates the session from the outcome of the outstanding request, and returns the answer to
    /// the client.
    SessionAnswer complete(GroupAnswer outcome);

    SessionNumber number() const { return number_; }
    TransactionState state() const { return state_; }
    bool requestOutstanding() const { return outstanding_; }

    /// Returns the pool of the transaction in progress, else of the last statement.
    const std::string &pool() const { return route_.pool; }

private:
    SessionAnswer successAnswer() const;
    SessionAnswer errorAnswer(AnswerCode code, std::string text) const;
    /// Sets route_ and team_ for the next operation. Returns the error if there is no route for
    /// the session, or its key isn't valid.
    std::optional<SessionAnswer> admit(const Router &router);
    SessionStep beginTransaction(const SessionStatement &statement, const Router &router,
                                 TimePoint now);
    SessionStep endTransaction(SessionStatement statement, RequestNumber request, TimePoint now);
    /// Handles SetValue, Prepare and Deallocate, which run on no server.
    SessionStep updateSession(const SessionStatement &statement);
    SessionStep runStatement(SessionStatement statement, const Router &router,
                             RequestNumber request, TimePoint now);
    /// Answers with an error and has the open transaction rolled back.
    SessionStep failTransaction(AnswerCode code, std::string text);
    GroupRequest makeRequest(SessionStatement statement, RequestNumber request, TimePoint now);

    SessionNumber number_;
    std::optional<KeyDigest> key_;
    StatementRequest routingRequest_; ///< Holds only what the router needs: caller and database.
    TeamIdentity team_; ///< Of the transaction in progress, else of the last statement.
    Route route_;       ///< Route of the transaction in progress, else of the last statement.
    TransactionState state_ = TransactionState::None;
    bool readOnlyTransaction_ = false;
    bool begunAtServer_ = false;
    bool outstanding_ = false;
    TimePoint transactionStart_;
    Position commitPosition_;
    std::optional<Position> reportedPosition_; ///< Last position reported to the client.
    std::shared_ptr<SessionValues> values_ = std::make_shared<SessionValues>();
    bool valuesShared_ = false; ///< A request was made since the last change of the values.
    std::map<std::string, PreparedStatement, std::less<>> prepared_;
};

} // namespace shallotwalk
