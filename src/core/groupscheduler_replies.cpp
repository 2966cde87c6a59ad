#include "core/groupscheduler.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Time for which a replica that answered "lagging" gets no reads that need a newer position.
constexpr Duration laggingExclusion = std::chrono::milliseconds(100);

/// Delay after a refused connection before connections beyond the share are opened again.
constexpr Duration burstRetryDelay = std::chrono::seconds(1);

/// Added to the recorded response time of a server that answers "busy", so that requests go to
/// other servers.
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
    if (!connection->replies.received(std::move(reply))) {
        abortConnection(key, "a reply arrived although none was due", now);
        return;
    }
    link->replyReceived(now);
    // Handling a reply may close the connection.
    for (connection = find(key); connection != nullptr; connection = find(key)) {
        auto match = connection->replies.next();
        if (!match) {
            counters_.repliesWithheld += connection->replies.withheld() > 0 ? 1 : 0;
            return;
        }
        if (match->foreign) {
            ++counters_.repliesLost;
            abortConnection(key, "the reply belongs to another command, so one was lost", now);
            return;
        }
        handleReply(key, std::move(match->reply), match->command, now);
    }
}

void GroupScheduler::handleReply(ServerConnectionKey key, ServerReply reply,
                                 const OutstandingCommand &expected, TimePoint now)
{
    auto *link = find(key.server);
    auto *connection = find(key);
    switch (expected.kind) {
    case ExpectedReply::Opening:
        handleOpening(key, reply, now);
        break;
    case ExpectedReply::Preparation:
        if (reply.error)
            abortConnection(key, "the session's values could not be set", now);
        break;
    case ExpectedReply::Begin:
        handleBegin(key, reply, now);
        break;
    case ExpectedReply::Statement:
        handleStatement(key, std::move(reply), expected, now);
        break;
    case ExpectedReply::ProxyRollback:
        if (reply.error || reply.state != TransactionState::None)
            abortConnection(key, "the transaction could not be ended", now);
        else if (connection->replies.empty())
            releaseConnection(key, now);
        break;
    case ExpectedReply::Probe:
        link->response.recordRoundTrip(now - expected.sentAt);
        if (reply.error == AnswerCode::ReadOnly)
            clearPrimary(*link, now);
        else if (!reply.error && reply.position)
            recordWatermark(*reply.position, expected.sentAt);
        break;
    case ExpectedReply::Report:
        handleReport(*link, reply, expected.sentAt, now);
        releaseConnection(key, now);
        resumeReplica(key.server, now);
        break;
    case ExpectedReply::Demotion:
        handleDemotion(*link, reply, expected.sentAt, now);
        releaseConnection(key, now);
        reviewPrimary(now);
        break;
    }
}

void GroupScheduler::handleOpening(ServerConnectionKey key, const ServerReply &reply, TimePoint now)
{
    auto &link = *find(key.server);
    if (reply.error) {
        if (reply.error == AnswerCode::TooManyClients)
            link.burstRefusedUntil = now + burstRetryDelay;
        abortConnection(key, "the server refused the connection", now);
        handleRefusal(key.server, *reply.error, now);
        return;
    }
    auto &connection = *find(key);
    link.openingTime = now - connection.lastUsed;
    connection.open = true;
    connection.lastUsed = now;
    if (std::exchange(link.departedAt, std::nullopt))
        departed_.returned(link.registration.id);
    if (reply.position)
        link.term = std::max(link.term, reply.position->term);
    link.budget.opened(key.connection, now);
    startReserved(key, now);
    closeSurplusConnections(key.server, now);
    startQueued(key.server, now);
}

/// Requests that wait for a server without any connection go elsewhere, or are refused if it can't
/// accept one in time.
void GroupScheduler::handleRefusal(ServerNumber number, AnswerCode code, TimePoint now)
{
    ++counters_.connectionsRefused;
    const auto *link = find(number);
    if (link == nullptr)
        return;
    const auto &id = link->registration.id;
    port_.connectionRefused(id, code, std::max(link->budget.retryAt(id), now) - now);
    if (link->requestConnections() == 0)
        requeueFrom(number, now);
}

void GroupScheduler::handleReport(ServerLink &link, const ServerReply &reply, TimePoint sentAt,
                                  TimePoint now)
{
    if (!reply.report)
        return;
    link.reportedAt = now;
    link.term = std::max(link.term, reply.report->term);
    link.received = reply.report->received;
    link.pausedUntilTerm = reply.report->pausedUntilTerm;
    link.stoppedAt = link.received;
    link.stoppedUntilTerm = link.pausedUntilTerm;
    if (reply.report->primary)
        link.ledTerm = std::max(link.ledTerm, reply.report->term);
    else if (!link.demoted)
        link.replicaTerm = std::max(link.replicaTerm, reply.report->term);
    link.lastPrimary = link.lastPrimary && (reply.report->primary || link.demoted);
    if (reply.report->primary || link.demoted)
        departed_.primaryReported(link.received, sentAt);
    else if (link.registered)
        departed_.replicaReported(link.registration.id, link.received);
    const auto number = std::find_if(servers_.begin(), servers_.end(),
                                     [&](const auto &entry) { return &entry.second == &link; });
    if (reply.report->primary)
        setPrimary(number->first, reply.report->term, now);
    else if (link.primary)
        clearPrimary(link, now);
}

void GroupScheduler::handleDemotion(ServerLink &link, const ServerReply &reply, TimePoint sentAt,
                                    TimePoint now)
{
    if (!reply.report)
        return;
    // The command may have been sent twice.
    if (!link.demoted)
        link.demotedAt = now;
    link.demoted = (link.primary || link.demoted) && !reply.report->primary;
    link.demotionRefused = reply.report->primary;
    if (link.demoted)
        link.ledTerm = std::max(link.ledTerm, reply.report->term);
    port_.primaryDemoted(link.registration.id, link.demoted, reply.report->received);
    handleReport(link, reply, sentAt, now);
}

/// Ends the pause of a replica once a promotion has led to the term that it was paused for.
void GroupScheduler::resumeReplica(ServerNumber number, TimePoint now)
{
    const auto *link = find(number);
    if (link == nullptr || link->primary || link->pausedUntilTerm == 0
        || link->pausedUntilTerm > newestTerm())
        return;
    const ServerCommand command{CommandKind::Resume, {}};
    const auto kind = ExpectedReply::Report;
    sendOnIdleConnection(number, {&command, 1}, {&kind, 1}, now);
}

void GroupScheduler::handleStatement(ServerConnectionKey key, ServerReply reply,
                                     const OutstandingCommand &sent, TimePoint now)
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
    connection.request.reset();
    found->second.sentAt = sent.sentAt;
    found->second.logEndBefore = sent.logEnd;
    handleSuccess(key, found->second, std::move(reply), now);
}

/// Handles the late reply to a read that was retried at another server.
void GroupScheduler::discardReply(ServerConnectionKey key, const ServerReply &reply, TimePoint now)
{
    if (!find(key)->replies.empty())
        return; // The last outstanding reply releases the connection.
    if (reply.state == TransactionState::None)
        releaseConnection(key, now);
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
    link.errors.succeeded(pending.sentAt, now);
    if (request.scope == RequestScope::Single)
        answer.committed = !request.readOnly;
    else if (commit)
        answer.committed = transaction != transactions_.end() && transaction->second.wrote;
    // The commit of a transaction that wrote nothing succeeds at any server, not just the primary.
    if (answer.committed && reply.position && mayBeRolledBack(link, *reply.position)) {
        withholdCommit(key, pending, now);
        return;
    }
    const bool fromPrimary = answer.committed || (connection.provesPrimary && !commit);
    // A commit that was acknowledged before a demotion may be answered after it.
    if (fromPrimary && reply.position && !link.demoted) {
        setPrimary(key.server, reply.position->term, now);
        if (answer.committed)
            recordAcknowledged(link, pending, *reply.position);
        recordWatermark(*reply.position, pending.sentAt);
    }
    const bool ended = request.scope == RequestScope::Single || commit;
    if (!ended && reply.state != TransactionState::Open) {
        abortConnection(key, "the server has ended the transaction by itself", now);
        finishWithError(pending, AnswerCode::Aborted, "the server has rolled the transaction back");
        return;
    }
    ++(link.primary ? counters_.answeredByPrimary : counters_.answeredByReplica);
    answer.answer.rows = std::move(reply.rows);
    answer.answer.signature = std::move(reply.signature);
    answer.answer.state = ended ? TransactionState::None : TransactionState::Open;
    answer.answer.position = reply.position;
    if (request.scope != RequestScope::InTransaction)
        removeFromQueue(pending, true, now);
    if (!ended) {
        transaction->second.wrote = transaction->second.wrote || !request.readOnly;
        transaction->second.lastUsed = now;
    } else if (transaction != transactions_.end() && request.scope != RequestScope::Single) {
        transactions_.erase(transaction);
        connection.session.reset();
    }
    finish(pending, std::move(answer));
    const auto *used = find(key);
    if (ended && used != nullptr && used->replies.empty())
        releaseConnection(key, now);
    else if (!ended)
        startQueued(key.server, now);
}

/// Answers a commit that took effect at a primary whose term a recorded promotion ends, and that
/// its successor may lack.
void GroupScheduler::withholdCommit(ServerConnectionKey key, Pending &pending, TimePoint now)
{
    if (pending.request.scope != RequestScope::InTransaction)
        removeFromQueue(pending, true, now);
    finishWithError(pending, AnswerCode::InDoubt, "a promotion may roll the commit back");
    abortConnection(key, "its server is being replaced as the primary", now);
}

void GroupScheduler::recordError(ServerConnectionKey key, const Pending &pending, AnswerCode code,
                                 TimePoint now)
{
    auto &link = *find(key.server);
    switch (code) {
    case AnswerCode::Busy:
        link.response.record(now - pending.sentAt + busyPenalty, now);
        break;
    case AnswerCode::Failed:
        link.errors.failed(pending.sentAt, now);
        break;
    case AnswerCode::Lagging:
        link.laggingUntil = now + laggingExclusion;
        break;
    case AnswerCode::ReadOnly:
        clearPrimary(link, now);
        break;
    case AnswerCode::NotPrepared:
        if (pending.request.prepared)
            find(key)->content.forget(*pending.request.prepared);
        break;
    default:
        break;
    }
}

bool GroupScheduler::mayRetry(const Pending &pending, AnswerCode code, TimePoint now) const
{
    const auto &request = pending.request;
    if (request.scope == RequestScope::InTransaction || !impliesDidNotRun(code))
        return false;
    return pending.attempts < settings_.attemptLimit
           && now + settings_.refusalMargin < request.deadline;
}

/// Whether a statement that ran and failed may run at another server: one that only reads may run
/// again, and a server that fails what it is given mustn't cost its callers the answer.
bool GroupScheduler::mayReadElsewhere(const Pending &pending, AnswerCode code, TimePoint now) const
{
    const auto &request = pending.request;
    const bool reads =
        request.readOnly
        && (request.scope == RequestScope::Single
            || (request.scope == RequestScope::BeginTransaction && request.readOnlyTransaction));
    return settings_.avoidFailingServers && code == AnswerCode::Failed && reads
           && !pending.needsPrimary && !pending.failedAt
           && now + settings_.refusalMargin < request.deadline;
}

void GroupScheduler::handleError(ServerConnectionKey key, Pending &pending, AnswerCode code,
                                 const ServerReply &reply, TimePoint now)
{
    recordError(key, pending, code, now);
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
        finishWithError(pending, code, reply.errorText);
        rollBack(key, now);
        return;
    }
    removeFromQueue(pending, false, now);
    // The connection is released first, so that a retry can use it.
    auto &connection = *find(key);
    if (request.scope == RequestScope::BeginTransaction || reply.state != TransactionState::None) {
        if (connection.replies.empty())
            rollBack(key, now);
        else if (connection.replies.oldest().kind != ExpectedReply::ProxyRollback)
            abortConnection(key, "a failed transaction is open while other replies are due", now);
    } else if (connection.replies.empty()) {
        releaseConnection(key, now);
    }
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    if (mayReadElsewhere(found->second, code, now)) {
        found->second.failedAt = key.server;
    } else if (!mayRetry(found->second, code, now)) {
        finishWithError(found->second, code, reply.errorText);
        return;
    }
    recordRetry(found->second, code);
    if (code == AnswerCode::Lagging || code == AnswerCode::ReadOnly)
        found->second.needsPrimary = true;
    dispatch(found->second, now);
}

void GroupScheduler::recordRetry(const Pending &pending, std::optional<AnswerCode> code)
{
    ++counters_.retries;
    const auto *link = find(pending.target.server);
    port_.requestRetried(pending.request, link == nullptr ? "" : link->registration.id, code);
}

void GroupScheduler::clearPrimary(ServerLink &link, TimePoint now)
{
    if (!link.primary)
        return;
    link.primary = false;
    primaryMissingSince_ = now;
    if (!lastPromotion_ || lastPromotion_->server != link.registration.id)
        adoptPromotedServer(now);
    requestReports(now);
}

void GroupScheduler::removeFromQueue(Pending &pending, bool ran, TimePoint now)
{
    auto *link = find(pending.target.server);
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
        if (auto *link = find(pending.target.server))
            link->policy->cancel(number);
    }
    const auto request = std::move(pending.request);
    requests_.erase(number);
    port_.answer(request, std::move(answer));
}

void GroupScheduler::finishWithError(Pending &pending, AnswerCode code, std::string text)
{
    // To the client this code would mean that it hasn't prepared the statement.
    if (code == AnswerCode::NotPrepared) {
        code = pending.request.scope == RequestScope::InTransaction ? AnswerCode::Aborted
                                                                    : AnswerCode::Busy;
        text = "the server has forgotten the statement";
    }
    GroupAnswer answer;
    answer.answer.error = code;
    answer.answer.text = std::move(text);
    const bool ended = pending.request.scope == RequestScope::Single
                       || pending.request.statement.kind == StatementKind::Commit;
    answer.answer.state = ended ? TransactionState::None : TransactionState::Failed;
    if (const auto *link = find(pending.target.server))
        answer.server = link->registration.id;
    finish(pending, std::move(answer));
}

void GroupScheduler::releaseConnection(ServerConnectionKey key, TimePoint now)
{
    auto &link = *find(key.server);
    link.budget.released(key.connection, now);
    closeSurplusConnections(key.server, now);
    startQueued(key.server, now);
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
    const auto kind = ExpectedReply::ProxyRollback;
    send(key, *connection, {&command, 1}, {&kind, 1}, now);
}

void GroupScheduler::abortConnection(ServerConnectionKey key, std::string_view reason,
                                     TimePoint now)
{
    if (find(key) == nullptr)
        return;
    lastConnectionError_ = reason;
    port_.closeConnection(key);
    removeConnection(key, now);
}

void GroupScheduler::connectionLost(ServerConnectionKey key, std::string_view reason, TimePoint now)
{
    auto *link = find(key.server);
    if (link == nullptr || find(key) == nullptr)
        return;
    lastConnectionError_ = reason;
    link->connectionFailed(now);
    link->pausedUntilTerm = 0; // The server may have restarted, which ends a pause.
    removeConnection(key, now);
}

void GroupScheduler::removeConnection(ServerConnectionKey key, TimePoint now)
{
    auto &link = *find(key.server);
    ++counters_.connectionsLost;
    const auto lost = link.connections.extract(key.connection);
    const auto &connection = lost.mapped();
    link.budget.closed(key.connection, !connection.open, now);
    recordDeparture(link, now);
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
            handleLostRequest(found->second, wrote, now);
    }
    if (connection.reservedFor) {
        const auto found = requests_.find(*connection.reservedFor);
        if (found != requests_.end()) {
            releaseReservation(found->second, now);
            dispatch(found->second, now);
        }
    }
    startQueued(key.server, now);
}

void GroupScheduler::handleLostRequest(Pending &pending, bool wrote, TimePoint now)
{
    const auto &request = pending.request;
    const bool commit = request.statement.kind == StatementKind::Commit;
    const bool late = now + settings_.refusalMargin >= request.deadline;
    if (request.scope != RequestScope::InTransaction)
        removeFromQueue(pending, false, now);
    if (request.scope == RequestScope::InTransaction) {
        if (commit && wrote)
            finishWithError(pending, AnswerCode::InDoubt, "the answer to the commit was lost");
        else
            finishWithError(pending, AnswerCode::Aborted,
                            "the connection of the transaction was lost");
        return;
    }
    if (request.scope == RequestScope::Single && !request.readOnly) {
        finishWithError(pending, AnswerCode::InDoubt, "the answer to the write was lost");
        return;
    }
    // A read, or a transaction whose commit was not sent, has no lasting effect and can be retried.
    if (!late && pending.attempts < settings_.attemptLimit) {
        recordRetry(pending, std::nullopt);
        dispatch(pending, now);
        return;
    }
    if (request.scope == RequestScope::Single)
        finishWithError(pending, AnswerCode::TimedOut, "the server did not answer in time");
    else
        finishWithError(pending, AnswerCode::Aborted, "the server did not answer in time");
}

} // namespace shallotwalk
