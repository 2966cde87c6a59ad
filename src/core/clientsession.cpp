#include "core/clientsession.h"

#include <algorithm>
#include <utility>

namespace shallotwalk {

namespace {

// These limits bound the memory that one client can use.
constexpr std::size_t maxSessionValues = 200;
constexpr std::size_t maxPreparedStatements = 500;

/// Longest text of a prepared statement, and of its arguments with the id of the statement. A
/// message to a server holds 1 MiB, and the name of the statement may be longer there than the
/// client's.
constexpr std::size_t maxPreparedBytes = (std::size_t{1} << 20) - 64;

constexpr std::uint32_t lowestPriority = 3;

/// The share of a busy server's capacity that statements of \a route get, relative to others. Each
/// priority level gets half the share of the one above.
std::uint32_t schedulingWeight(const Route &route)
{
    return route.weight << (lowestPriority - std::min(route.priority, lowestPriority));
}

} // namespace

ClientSession::ClientSession(SessionNumber number, std::string database,
                             std::optional<KeyDigest> key)
    : number_(number)
    , key_(key)
{
    routingRequest_.database = std::move(database);
}

std::optional<SessionAnswer> ClientSession::refusal(const Router &router)
{
    return admit(router);
}

SessionStep ClientSession::handle(SessionStatement statement, const Router &router,
                                  RequestNumber request, TimePoint now)
{
    const bool ends =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (state_ == TransactionState::Failed && !ends)
        return {errorAnswer(AnswerCode::Malformed, "the transaction has failed and must be ended")};
    switch (statement.kind) {
    case StatementKind::Begin:
        return beginTransaction(statement, router, now);
    case StatementKind::Commit:
    case StatementKind::Rollback:
        return endTransaction(std::move(statement), request, now);
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        return updateSession(statement);
    default:
        return runStatement(std::move(statement), router, request, now);
    }
}

SessionAnswer ClientSession::successAnswer() const
{
    SessionAnswer answer;
    answer.state = state_;
    answer.position = reportedPosition_;
    return answer;
}

SessionAnswer ClientSession::errorAnswer(AnswerCode code, std::string text) const
{
    auto answer = successAnswer();
    answer.error = code;
    answer.text = std::move(text);
    return answer;
}

std::optional<SessionAnswer> ClientSession::admit(const Router &router)
{
    const auto &teams = router.tables().teams;
    const auto *team = teams && key_ ? teams->findByKey(*key_) : nullptr;
    routingRequest_.caller = team == nullptr ? std::string() : team->name;
    const auto *route = router.find(routingRequest_);
    if (route == nullptr)
        return errorAnswer(AnswerCode::NoDatabase, routingRequest_.database);
    if (teams && team == nullptr && !route->anonymous)
        return errorAnswer(AnswerCode::NotPermitted, "the key is missing or unknown");
    route_ = *route;
    team_ = {};
    if (team != nullptr)
        team_ = {team->name, team->priority, team->quota.has_value()};
    return std::nullopt;
}

SessionStep ClientSession::beginTransaction(const SessionStatement &statement, const Router &router,
                                            TimePoint now)
{
    if (state_ != TransactionState::None)
        return {errorAnswer(AnswerCode::Malformed, "a transaction is already open")};
    if (auto error = admit(router))
        return {std::move(*error)};
    state_ = TransactionState::Open;
    readOnlyTransaction_ = statement.readOnly;
    begunAtServer_ = false;
    transactionStart_ = now;
    return {successAnswer()};
}

SessionStep ClientSession::endTransaction(SessionStatement statement, RequestNumber request,
                                          TimePoint now)
{
    const bool commit = statement.kind == StatementKind::Commit;
    if (state_ == TransactionState::Failed) {
        state_ = TransactionState::None;
        if (commit)
            return {
                errorAnswer(AnswerCode::Aborted, "the transaction had failed and was rolled back")};
        return {successAnswer()};
    }
    if (state_ == TransactionState::None) {
        if (commit)
            return {errorAnswer(AnswerCode::Malformed, "no transaction is open")};
        return {successAnswer()};
    }
    if (commit)
        return {{}, makeRequest(std::move(statement), request, now), route_.pool};
    state_ = TransactionState::None;
    return {successAnswer(), {}, route_.pool, begunAtServer_};
}

SessionStep ClientSession::updateSession(const SessionStatement &statement)
{
    if (statement.kind == StatementKind::Deallocate) {
        if (prepared_.erase(statement.name) == 0)
            return {errorAnswer(AnswerCode::NotPrepared, statement.name)};
        return {successAnswer()};
    }
    if (statement.kind == StatementKind::Prepare) {
        if (statement.text.size() > maxPreparedBytes)
            return {errorAnswer(AnswerCode::TooBig, "the statement is too long to be prepared")};
        if (prepared_.size() >= maxPreparedStatements && !prepared_.contains(statement.name))
            return {errorAnswer(AnswerCode::TooBig, "too many prepared statements")};
        prepared_.insert_or_assign(statement.name,
                                   PreparedStatement{statement.readOnly, statement.text});
        return {successAnswer()};
    }
    if (values_->size() >= maxSessionValues && !values_->contains(statement.name))
        return {errorAnswer(AnswerCode::TooBig, "too many session values")};
    // Requests keep the values that they were made with.
    if (std::exchange(valuesShared_, false))
        values_ = std::make_shared<SessionValues>(*values_);
    values_->insert_or_assign(statement.name, statement.text);
    return {successAnswer()};
}

SessionStep ClientSession::runStatement(SessionStatement statement, const Router &router,
                                        RequestNumber request, TimePoint now)
{
    if (state_ == TransactionState::None) {
        if (auto error = admit(router))
            return {std::move(*error)};
    }
    if (statement.kind == StatementKind::Execute && !prepared_.contains(statement.name)) {
        const auto code = AnswerCode::NotPrepared;
        return state_ == TransactionState::Open ? failTransaction(code, statement.name)
                                                : SessionStep{errorAnswer(code, statement.name)};
    }
    if (statement.kind == StatementKind::Execute
        && statement.text.size() + statement.id.size() > maxPreparedBytes) {
        const auto code = AnswerCode::TooBig;
        const std::string text = "the arguments are too long";
        return state_ == TransactionState::Open ? failTransaction(code, text)
                                                : SessionStep{errorAnswer(code, text)};
    }
    auto groupRequest = makeRequest(std::move(statement), request, now);
    if (readOnlyTransaction_ && state_ == TransactionState::Open && !groupRequest.readOnly) {
        outstanding_ = false;
        return failTransaction(AnswerCode::ReadOnly, "the transaction is read-only");
    }
    return {{}, std::move(groupRequest), route_.pool};
}

SessionStep ClientSession::failTransaction(AnswerCode code, std::string text)
{
    state_ = TransactionState::Failed;
    return {errorAnswer(code, std::move(text)), {}, route_.pool, begunAtServer_};
}

GroupRequest ClientSession::makeRequest(SessionStatement statement, RequestNumber number,
                                        TimePoint now)
{
    GroupRequest request;
    request.number = number;
    request.session = number_;
    const bool open = state_ == TransactionState::Open;
    if (open) {
        request.scope =
            begunAtServer_ ? RequestScope::InTransaction : RequestScope::BeginTransaction;
        request.readOnlyTransaction = readOnlyTransaction_;
    }
    if (statement.kind == StatementKind::Execute)
        request.prepared = prepared_.find(statement.name)->second;
    request.readOnly =
        statement.kind == StatementKind::Read || (request.prepared && request.prepared->readOnly);
    request.statement = std::move(statement);
    request.values = values_;
    valuesShared_ = true;
    request.route = route_.name;
    request.team = team_;
    request.weight = schedulingWeight(route_);
    request.maxStaleness = route_.maxStaleness;
    request.sessionPosition = commitPosition_;
    request.startedAt = open ? transactionStart_ : now;
    request.receivedAt = now;
    request.deadline = now + route_.timeout;
    request.goal = route_.goal;
    outstanding_ = true;
    begunAtServer_ = open;
    return request;
}

SessionAnswer ClientSession::complete(GroupAnswer outcome)
{
    outstanding_ = false;
    auto answer = std::move(outcome.answer);
    state_ = answer.state;
    if (state_ != TransactionState::Open)
        begunAtServer_ = false;
    if (outcome.committed && answer.position)
        commitPosition_ = std::max(commitPosition_, *answer.position);
    if (answer.position)
        reportedPosition_ = answer.position;
    return answer;
}

} // namespace shallotwalk
