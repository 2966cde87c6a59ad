#include "core/clientsession.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Bounds the memory that one client can take.
constexpr std::size_t valueLimit = 200;
constexpr std::size_t preparedLimit = 500;

/// Shares of a busy server by priority: each level gets half of the one above.
constexpr std::uint32_t lowestPriority = 3;

std::uint32_t shareOf(const Route &route)
{
    return route.weight << (lowestPriority - std::min(route.priority, lowestPriority));
}

} // namespace

ClientSession::ClientSession(SessionNumber number, std::string user, std::string database)
    : number_(number)
{
    target_.caller = std::move(user);
    target_.database = std::move(database);
}

SessionStep ClientSession::handle(SessionStatement statement, const Router &router,
                                  RequestNumber request, TimePoint now)
{
    const bool ends =
        statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (state_ == TransactionState::Failed && !ends)
        return {failed(AnswerCode::Malformed, "the transaction has failed and must be ended")};
    switch (statement.kind) {
    case StatementKind::Begin:
        return begin(statement, router, now);
    case StatementKind::Commit:
    case StatementKind::Rollback:
        return end(std::move(statement), request, now);
    case StatementKind::SetValue:
    case StatementKind::Prepare:
    case StatementKind::Deallocate:
        return define(statement);
    default:
        return run(std::move(statement), router, request, now);
    }
}

SessionAnswer ClientSession::done() const
{
    SessionAnswer answer;
    answer.state = state_;
    answer.position = seenPosition_;
    return answer;
}

SessionAnswer ClientSession::failed(AnswerCode code, std::string text) const
{
    auto answer = done();
    answer.error = code;
    answer.text = std::move(text);
    return answer;
}

bool ClientSession::findRoute(const Router &router)
{
    const auto *route = router.find(target_);
    if (route == nullptr)
        return false;
    route_ = *route;
    return true;
}

SessionStep ClientSession::begin(const SessionStatement &statement, const Router &router,
                                 TimePoint now)
{
    if (state_ != TransactionState::None)
        return {failed(AnswerCode::Malformed, "a transaction is open already")};
    if (!findRoute(router))
        return {failed(AnswerCode::NoDatabase, target_.database)};
    state_ = TransactionState::Open;
    readOnlyTransaction_ = statement.readOnly;
    begunAtServer_ = false;
    transactionStart_ = now;
    return {done()};
}

SessionStep ClientSession::end(SessionStatement statement, RequestNumber request, TimePoint now)
{
    const bool commit = statement.kind == StatementKind::Commit;
    if (state_ == TransactionState::Failed) {
        state_ = TransactionState::None;
        if (commit)
            return {failed(AnswerCode::Aborted, "the transaction had failed and was rolled back")};
        return {done()};
    }
    if (state_ == TransactionState::None) {
        if (commit)
            return {failed(AnswerCode::Malformed, "no transaction is open")};
        return {done()};
    }
    if (commit)
        return {{}, makeRequest(std::move(statement), request, now), route_.pool};
    state_ = TransactionState::None;
    return {done(), {}, route_.pool, begunAtServer_};
}

SessionStep ClientSession::define(const SessionStatement &statement)
{
    if (statement.kind == StatementKind::Deallocate) {
        if (prepared_.erase(statement.name) == 0)
            return {failed(AnswerCode::NotPrepared, statement.name)};
        return {done()};
    }
    if (statement.kind == StatementKind::Prepare) {
        if (prepared_.size() >= preparedLimit && !prepared_.contains(statement.name))
            return {failed(AnswerCode::TooBig, "too many prepared statements")};
        prepared_.insert_or_assign(statement.name,
                                   PreparedStatement{statement.readOnly, statement.text});
        return {done()};
    }
    if (values_->size() >= valueLimit && !values_->contains(statement.name))
        return {failed(AnswerCode::TooBig, "too many session values")};
    auto values = std::make_shared<SessionValues>(*values_);
    values->insert_or_assign(statement.name, statement.text);
    values_ = std::move(values);
    return {done()};
}

SessionStep ClientSession::run(SessionStatement statement, const Router &router,
                               RequestNumber request, TimePoint now)
{
    if (state_ == TransactionState::None && !findRoute(router))
        return {failed(AnswerCode::NoDatabase, target_.database)};
    if (statement.kind == StatementKind::Execute && !prepared_.contains(statement.name)) {
        const auto code = AnswerCode::NotPrepared;
        return state_ == TransactionState::Open ? rollBackWith(code, statement.name)
                                                : SessionStep{failed(code, statement.name)};
    }
    auto message = makeRequest(std::move(statement), request, now);
    if (readOnlyTransaction_ && state_ == TransactionState::Open && !message.readOnly) {
        outstanding_ = false;
        return rollBackWith(AnswerCode::ReadOnly, "the transaction only reads");
    }
    return {{}, std::move(message), route_.pool};
}

SessionStep ClientSession::rollBackWith(AnswerCode code, std::string text)
{
    state_ = TransactionState::Failed;
    return {failed(code, std::move(text)), {}, route_.pool, begunAtServer_};
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
    request.route = route_.name;
    request.weight = shareOf(route_);
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
        seenPosition_ = answer.position;
    return answer;
}

} // namespace shallotwalk
