#include "core/groupscheduler.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// A replica that was behind is not asked for newer data before.
constexpr Duration laggingPause = std::chrono::milliseconds(100);

/// After a refused connection, until more than the share is opened again.
constexpr Duration burstPause = std::chrono::seconds(1);

/// Added to the estimate of a server that sheds load, so that work moves elsewhere.
constexpr Duration busyPenalty = std::chrono::milliseconds(100);

} // namespace

void GroupScheduler::replied(ServerConnectionKey key, ServerReply reply, TimePoint now)
{
    auto *link = find(key.server);
    auto *connection = find(key);
    if (link == nullptr || connection == nullptr)
        return;
    if (reply.position)
        link->position = *reply.position;
    if (connection->outstanding.empty()) {
        breakConnection(key, "a reply without a question", now);
        return;
    }
    const auto expected = connection->outstanding.front();
    connection->outstanding.pop_front();
    link->heard(now);
    const bool crossed = !reply.signature.empty() && expected.kind != ExpectedReply::Statement;
    if (crossed) {
        breakConnection(key, "a reply was lost", now);
        return;
    }
    switch (expected.kind) {
    case ExpectedReply::Opening:
        handleOpening(key, reply, now);
        break;
    case ExpectedReply::Preparation:
        if (reply.error)
            breakConnection(key, "the session's values could not be set", now);
        break;
    case ExpectedReply::Begin:
        handleBegin(key, reply, now);
        break;
    case ExpectedReply::Statement:
        handleStatement(key, std::move(reply), expected.sentAt, now);
        break;
    case ExpectedReply::End:
        if (reply.error || reply.state != TransactionState::None)
            breakConnection(key, "the transaction could not be ended", now);
        else if (connection->outstanding.empty())
            release(key, now);
        break;
    case ExpectedReply::Probe:
        link->response.recordRoundTrip(now - expected.sentAt);
        if (reply.error == AnswerCode::ReadOnly)
            notLeading(*link, now);
        else if (!reply.error && reply.position)
            watermarks_.record(*reply.position, expected.sentAt);
        break;
    case ExpectedReply::Report:
        handleReport(*link, reply, now);
        release(key, now);
        resumeReplica(key.server, now);
        break;
    }
}

void GroupScheduler::handleOpening(ServerConnectionKey key, const ServerReply &reply, TimePoint now)
{
    auto &link = *find(key.server);
    if (reply.error) {
        if (reply.error == AnswerCode::TooManyClients)
            link.burstRefusedUntil = now + burstPause;
        breakConnection(key, "the server refused the connection", now);
        return;
    }
    auto &connection = *find(key);
    connection.open = true;
    connection.lastUsed = now;
    if (reply.position)
        link.term = std::max(link.term, reply.position->term);
    link.budget.opened(key.connection, now);
    closeSurplus(key.server, now);
    pump(key.server, now);
}

void GroupScheduler::handleReport(ServerLink &link, const ServerReply &reply, TimePoint now)
{
    if (!reply.report)
        return;
    link.reportedAt = now;
    link.term = std::max(link.term, reply.report->term);
    link.received = reply.report->received;
    link.pausedFor = reply.report->pausedFor;
    const auto number = std::find_if(servers_.begin(), servers_.end(),
                                     [&](const auto &entry) { return &entry.second == &link; });
    if (reply.report->primary)
        becomePrimary(number->first, reply.report->term, now);
    else if (link.primary)
        notLeading(link, now);
}

/// Lets a replica receive again whose pause has led to a promotion.
void GroupScheduler::resumeReplica(ServerNumber number, TimePoint now)
{
    const auto *link = find(number);
    if (link == nullptr || link->primary || link->pausedFor == 0 || link->pausedFor > newestTerm())
        return;
    const ServerCommand command{CommandKind::Resume, {}};
    const auto kind = ExpectedReply::Report;
    ask(number, {&command, 1}, {&kind, 1}, now);
}

void GroupScheduler::handleStatement(ServerConnectionKey key, ServerReply reply, TimePoint sentAt,
                                     TimePoint now)
{
    auto &connection = *find(key);
    const auto found = connection.request ? requests_.find(*connection.request) : requests_.end();
    if (found == requests_.end()) {
        discardReply(key, reply, now);
        return;
    }
    if (reply.error) {
        connection.request.reset();
        handleError(key, found->second, *reply.error, reply, now);
        return;
    }
    if (reply.signature.empty()) {
        breakConnection(key, "the answer was cut or lost", now);
        return;
    }
    connection.request.reset();
    found->second.sentAt = sentAt;
    handleSuccess(key, found->second, std::move(reply), now);
}

/// Takes the late reply to a read that was repeated elsewhere.
void GroupScheduler::discardReply(ServerConnectionKey key, const ServerReply &reply, TimePoint now)
{
    if (!find(key)->outstanding.empty())
        return; // What follows releases the connection.
    if (reply.state == TransactionState::None)
        release(key, now);
    else
        rollBack(key, now);
}

void GroupScheduler::handleSuccess(ServerConnectionKey key, Pending &pending, ServerReply reply,
                                   TimePoint now)
{
    auto &link = *find(key.server);
    auto &connection = *find(key);
    const auto &request = pending.request;
    const bool commit = request.statement.kind == StatementKind::Commit;
    const auto transaction = transactions_.find(request.session);
    GroupAnswer answer;
    answer.server = link.registration.id;
    link.response.record(now - pending.sentAt, now);
    if (request.scope == RequestScope::Single)
        answer.committed = !request.readOnly;
    else if (commit)
        answer.committed = transaction != transactions_.end() && transaction->second.wrote;
    // The commit of a transaction that wrote nothing succeeds at any server.
    const bool leads = answer.committed || (connection.guarded && !commit);
    if (leads && reply.position) {
        becomePrimary(key.server, reply.position->term, now);
        watermarks_.record(*reply.position, pending.sentAt);
    }
    const bool ended = request.scope == RequestScope::Single || commit;
    if (!ended && reply.state != TransactionState::Open) {
        breakConnection(key, "the server has ended the transaction by itself", now);
        finishWith(pending, AnswerCode::Aborted, "the server has rolled the transaction back");
        return;
    }
    ++(link.primary ? counters_.answeredByPrimary : counters_.answeredByReplica);
    answer.answer.rows = std::move(reply.rows);
    answer.answer.signature = std::move(reply.signature);
    answer.answer.state = ended ? TransactionState::None : TransactionState::Open;
    answer.answer.position = reply.position;
    if (request.scope != RequestScope::InTransaction)
        leaveQueue(pending, true, now);
    if (!ended) {
        transaction->second.wrote = transaction->second.wrote || !request.readOnly;
        transaction->second.lastUsed = now;
    } else if (transaction != transactions_.end() && request.scope != RequestScope::Single) {
        transactions_.erase(transaction);
        connection.session.reset();
    }
    finish(pending, std::move(answer));
    const auto *used = find(key);
    if (ended && used != nullptr && used->outstanding.empty())
        release(key, now);
    else if (!ended)
        pump(key.server, now);
}

void GroupScheduler::noteError(ServerConnectionKey key, const Pending &pending, AnswerCode code,
                               TimePoint now)
{
    auto &link = *find(key.server);
    switch (code) {
    case AnswerCode::Busy:
        link.response.record(now - pending.sentAt + busyPenalty, now);
        break;
    case AnswerCode::Lagging:
        link.laggingUntil = now + laggingPause;
        break;
    case AnswerCode::ReadOnly:
        notLeading(link, now);
        break;
    case AnswerCode::NotPrepared:
        if (pending.request.prepared)
            find(key)->content.forget(*pending.request.prepared);
        break;
    default:
        break;
    }
}

bool GroupScheduler::mayRepeat(const Pending &pending, AnswerCode code, TimePoint now) const
{
    const auto &request = pending.request;
    if (request.scope == RequestScope::InTransaction || !promisesNoRun(code))
        return false;
    return pending.attempts < settings_.attemptLimit
           && now + settings_.refusalMargin < request.deadline;
}

void GroupScheduler::handleError(ServerConnectionKey key, Pending &pending, AnswerCode code,
                                 const ServerReply &reply, TimePoint now)
{
    noteError(key, pending, code, now);
    const auto &request = pending.request;
    const auto number = request.number;
    if (request.scope == RequestScope::InTransaction && code == AnswerCode::NotPrepared
        && reply.state == TransactionState::Open && pending.attempts < settings_.attemptLimit) {
        auto again = std::move(pending.request);
        const auto attempts = pending.attempts;
        requests_.erase(number);
        continueTransaction(std::move(again), now);
        if (const auto found = requests_.find(number); found != requests_.end())
            found->second.attempts += attempts;
        return;
    }
    if (request.scope == RequestScope::InTransaction) {
        finishWith(pending, code, reply.errorText);
        rollBack(key, now);
        return;
    }
    leaveQueue(pending, false, now);
    // The connection is cleaned up first, so that a repetition may use it.
    auto &connection = *find(key);
    if (request.scope == RequestScope::BeginTransaction || reply.state != TransactionState::None) {
        if (connection.outstanding.empty())
            rollBack(key, now);
        else if (connection.outstanding.front().kind != ExpectedReply::End)
            breakConnection(key, "a failed transaction is open behind a question", now);
    } else if (connection.outstanding.empty()) {
        release(key, now);
    }
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    if (!mayRepeat(found->second, code, now)) {
        finishWith(found->second, code, reply.errorText);
        return;
    }
    noteRepetition(found->second, code);
    if (code == AnswerCode::Lagging || code == AnswerCode::ReadOnly)
        found->second.needsPrimary = true;
    place(found->second, now);
}

void GroupScheduler::noteRepetition(const Pending &pending, std::optional<AnswerCode> code)
{
    ++counters_.retries;
    const auto *link = find(pending.place.server);
    port_.requestRetried(pending.request, link == nullptr ? "" : link->registration.id, code);
}

void GroupScheduler::notLeading(ServerLink &link, TimePoint now)
{
    if (!link.primary)
        return;
    link.primary = false;
    primaryMissingSince_ = now;
    if (!lastPromotion_ || lastPromotion_->server != link.registration.id)
        followPromotion(now);
    askReports(now);
}

void GroupScheduler::leaveQueue(Pending &pending, bool ran, TimePoint now)
{
    auto *link = find(pending.place.server);
    if (link == nullptr)
        return;
    if (pending.stage == Pending::Stage::Queued)
        link->policy->cancel(pending.request.number);
    else if (ran)
        link->policy->completed(pending.request.number, now);
    else
        link->policy->abandoned(pending.request.number, now);
}

void GroupScheduler::finish(Pending &pending, GroupAnswer answer)
{
    if (answer.answer.error)
        ++counters_.errors[*answer.answer.error];
    answer.firstSentAt = pending.firstSentAt;
    const auto number = pending.request.number;
    if (pending.stage == Pending::Stage::Queued) {
        if (auto *link = find(pending.place.server))
            link->policy->cancel(number);
    }
    const auto request = std::move(pending.request);
    requests_.erase(number);
    port_.answer(request, std::move(answer));
}

void GroupScheduler::finishWith(Pending &pending, AnswerCode code, std::string text)
{
    GroupAnswer answer;
    answer.answer.error = code;
    answer.answer.text = std::move(text);
    const bool ended = pending.request.scope == RequestScope::Single
                       || pending.request.statement.kind == StatementKind::Commit;
    answer.answer.state = ended ? TransactionState::None : TransactionState::Failed;
    if (const auto *link = find(pending.place.server))
        answer.server = link->registration.id;
    finish(pending, std::move(answer));
}

void GroupScheduler::release(ServerConnectionKey key, TimePoint now)
{
    auto &link = *find(key.server);
    link.budget.released(key.connection, now);
    closeSurplus(key.server, now);
    pump(key.server, now);
}

void GroupScheduler::rollBack(ServerConnectionKey key, TimePoint now)
{
    auto *connection = find(key);
    if (connection == nullptr)
        return;
    if (connection->session) {
        transactions_.erase(*connection->session);
        connection->session.reset();
    }
    const ServerCommand command{CommandKind::Rollback, {}};
    const auto kind = ExpectedReply::End;
    send(key, *connection, {&command, 1}, {&kind, 1}, now);
}

void GroupScheduler::breakConnection(ServerConnectionKey key, std::string_view reason,
                                     TimePoint now)
{
    if (find(key) == nullptr)
        return;
    lastConnectionError_ = reason;
    port_.closeConnection(key);
    loseConnection(key, now);
}

void GroupScheduler::connectionLost(ServerConnectionKey key, std::string_view reason, TimePoint now)
{
    auto *link = find(key.server);
    if (link == nullptr || find(key) == nullptr)
        return;
    lastConnectionError_ = reason;
    link->failed(now);
    loseConnection(key, now);
}

void GroupScheduler::loseConnection(ServerConnectionKey key, TimePoint now)
{
    auto &link = *find(key.server);
    ++counters_.connectionsLost;
    const auto lost = link.connections.extract(key.connection);
    const auto &connection = lost.mapped();
    link.budget.closed(key.connection, !connection.open, now);
    bool wrote = false;
    if (connection.session) {
        const auto transaction = transactions_.find(*connection.session);
        if (transaction != transactions_.end()) {
            wrote = transaction->second.wrote;
            transactions_.erase(transaction);
        }
    }
    if (connection.request) {
        const auto found = requests_.find(*connection.request);
        if (found != requests_.end())
            failRunning(found->second, wrote, now);
    }
    pump(key.server, now);
}

void GroupScheduler::failRunning(Pending &pending, bool wrote, TimePoint now)
{
    const auto &request = pending.request;
    const bool commit = request.statement.kind == StatementKind::Commit;
    const bool late = now + settings_.refusalMargin >= request.deadline;
    if (request.scope != RequestScope::InTransaction)
        leaveQueue(pending, false, now);
    if (request.scope == RequestScope::InTransaction) {
        if (commit && wrote)
            finishWith(pending, AnswerCode::InDoubt, "the answer to the commit was lost");
        else
            finishWith(pending, AnswerCode::Aborted, "the connection of the transaction was lost");
        return;
    }
    if (request.scope == RequestScope::Single && !request.readOnly) {
        finishWith(pending, AnswerCode::InDoubt, "the answer to the write was lost");
        return;
    }
    // Nothing is kept of a read, nor of a transaction whose commit was not sent.
    if (!late && pending.attempts < settings_.attemptLimit) {
        noteRepetition(pending, std::nullopt);
        place(pending, now);
        return;
    }
    if (request.scope == RequestScope::Single)
        finishWith(pending, AnswerCode::TimedOut, "the server did not answer in time");
    else
        finishWith(pending, AnswerCode::Aborted, "the server did not answer in time");
}

} // namespace shallotwalk
