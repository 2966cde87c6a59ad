#include "gateway/sessionactor.h"

#include "core/lostrequest.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>

namespace shallotwalk {

namespace {

using StopSending = caf::atom_constant<caf::atom("stop_send")>;
using CheckOpening = caf::atom_constant<caf::atom("chk_open")>;

constexpr std::size_t maxReadBytes = 65536;
/// Received messages that may wait while one is being served.
constexpr std::size_t pipelineLimitBytes = std::size_t{2} * 1024 * 1024;

RequestNumber nextRequestNumber()
{
    static std::atomic<RequestNumber> last{0};
    return ++last;
}

} // namespace

caf::behavior SessionActor::run(Broker *self, caf::io::connection_handle connection,
                                SessionNumber number, std::shared_ptr<const SessionRouting> routing,
                                std::shared_ptr<const SessionContext> context)
{
    return self->state.start(connection, number, std::move(routing), std::move(context));
}

caf::behavior SessionActor::start(caf::io::connection_handle connection, SessionNumber number,
                                  std::shared_ptr<const SessionRouting> routing,
                                  std::shared_ptr<const SessionContext> context)
{
    connection_ = connection;
    number_ = number;
    routing_ = std::move(routing);
    context_ = std::move(context);
    decoder_ = context_->protocols.sessions->makeClientDecoder();
    self_->configure_read(connection_, caf::io::receive_policy::at_most(maxReadBytes));
    self_->ack_writes(connection_, true);
    self_->delayed_send(self_, context_->openingTimeout, CheckOpening::value);
    return {
        [this](const caf::io::new_data_msg &message) {
            // What arrives at the end of the session is read and dropped: the kernel discards
            // unsent data of a connection that is closed with unread data.
            if (closed_)
                return;
            decoder_->append(std::span(message.buf.data(), message.buf.size()));
            if (decoder_->buffered() > pipelineLimitBytes)
                refuseAndClose(AnswerCode::TooBig, "too many pipelined statements");
            else
                serveNext();
        },
        [this](const caf::io::data_transferred_msg &message) {
            unsentBytes_ -= std::min<std::size_t>(unsentBytes_, message.written);
            if (closed_ && unsentBytes_ == 0)
                end();
        },
        [this](const caf::io::connection_closed_msg &) { closeAtOnce(); },
        [this](StopSending) { closeAtOnce(); },
        [this](StatementFinished &message) { handleFinished(message); },
        [this](const OperationAdmitted &message) { handleAdmission(message); },
        [this](AdmissionsLost) {
            if (awaitingAdmission_) {
                const auto number = awaitingAdmission_->request->number;
                handleAdmission({number, QuotaVerdict::Unreachable});
            }
        },
        [this](const RoutingChanged &message) { updateRouting(message); },
        [this](CheckOpening) {
            if (!session_)
                refuseAndClose(AnswerCode::Malformed, "the session was not opened in time");
        },
        [this](CloseIdleSessions) {
            closeWhenIdle_ = true;
            closeIfIdle();
        },
        [this](CloseAllSessions) {
            closeWhenAnswered_ = true;
            serveNext();
        },
        [this](AbandonStatements) {
            closeWhenAnswered_ = true;
            if (pendingRequest_ != 0)
                abandonStatement("the proxy is shutting down");
            else
                serveNext();
        },
        [this](DrainRequest) { close(); },
    };
}

void SessionActor::updateRouting(const RoutingChanged &message)
{
    routing_ = message.routing;
    if (pendingOpening_ && routing_->router)
        open(*std::exchange(pendingOpening_, std::nullopt));
    const auto &groups = routing_->groups;
    const bool groupEnded =
        group_ && std::none_of(groups.begin(), groups.end(), [this](const auto &entry) {
            return entry.second == group_;
        });
    if (!groupEnded)
        return;
    group_ = nullptr;
    if (pendingRequest_ != 0 && !awaitingAdmission_)
        abandonStatement("the connections to the servers were lost");
}

/// Answers the statement in progress, whose outcome won't be known.
void SessionActor::abandonStatement(std::string_view reason)
{
    if (awaitingAdmission_) {
        const auto step = std::move(*std::exchange(awaitingAdmission_, std::nullopt));
        refuseOperation(*step.request, AnswerCode::Busy, reason);
        return;
    }
    spdlog::warn("event=statement_lost session={} outcome={} reason={}", number_,
                 toString(*lostOutcome_.answer.error), logValue(reason));
    if (group_)
        self_->send(group_, EndTransaction{number_});
    lostOutcome_.answer.text = reason;
    StatementFinished lost{pendingRequest_, std::move(lostOutcome_)};
    handleFinished(lost);
}

/// Handles received messages until one awaits its answer.
void SessionActor::serveNext()
{
    // A statement may be answered while it is being handled; the loop then goes on.
    if (serving_)
        return;
    serving_ = true;
    while (!closed_ && pendingRequest_ == 0 && !pendingOpening_) {
        auto message = decoder_->next();
        if (!message)
            break;
        handle(std::move(*message));
    }
    serving_ = false;
    if (closeWhenAnswered_ && pendingRequest_ == 0)
        close();
    else
        closeIfIdle();
}

void SessionActor::handle(ClientMessage message)
{
    if (const auto *invalid = std::get_if<InvalidMessage>(&message)) {
        handleInvalid(*invalid);
    } else if (auto *opening = std::get_if<SessionOpening>(&message)) {
        if (session_)
            refuseAndClose(AnswerCode::Malformed, "the session is open already");
        else if (routing_->router)
            open(*opening);
        else
            pendingOpening_ = std::move(*opening);
    } else if (std::holds_alternative<SessionClosing>(message)) {
        close();
    } else if (!session_) {
        refuseAndClose(AnswerCode::Malformed, "the session is not open");
    } else {
        handleStatement(std::move(std::get<SessionStatement>(message)));
    }
}

void SessionActor::open(const SessionOpening &opening)
{
    auto session = std::make_unique<ClientSession>(number_, opening.database, opening.key);
    if (const auto refusal = session->refusal(*routing_->router)) {
        refuseAndClose(*refusal->error, refusal->text);
        return;
    }
    session_ = std::move(session);
    SessionAnswer opened;
    opened.opening = true;
    send(opened);
    serveNext();
}

void SessionActor::handleInvalid(const InvalidMessage &invalid)
{
    if (invalid.fatal || !session_) {
        refuseAndClose(invalid.code, invalid.reason);
        return;
    }
    SessionAnswer answer;
    answer.error = invalid.code;
    answer.text = invalid.reason;
    answer.state = session_->state();
    send(answer);
}

void SessionActor::handleStatement(SessionStatement statement)
{
    const auto number = nextRequestNumber();
    auto step =
        session_->handle(std::move(statement), *routing_->router, number, context_->clock->now());
    if (step.rollBackTransaction && group_)
        self_->send(group_, EndTransaction{number_});
    if (step.answer) {
        send(*step.answer);
        return;
    }
    pendingRequest_ = number;
    if (!step.request->team.limited || step.request->scope == RequestScope::InTransaction) {
        runStatement(std::move(step));
        return;
    }
    self_->send(context_->quotas, AdmitOperation{number, step.request->team.name});
    awaitingAdmission_ = std::move(step);
}

/// Runs the first statement of an operation, or refuses it, once the quota of its team has
/// decided on the operation.
void SessionActor::handleAdmission(const OperationAdmitted &message)
{
    if (closed_ || !awaitingAdmission_ || awaitingAdmission_->request->number != message.number)
        return;
    auto step = std::move(*std::exchange(awaitingAdmission_, std::nullopt));
    switch (message.verdict) {
    case QuotaVerdict::Admitted:
        runStatement(std::move(step));
        break;
    case QuotaVerdict::Exceeded:
        refuseOperation(*step.request, AnswerCode::TooManyClients,
                        "the quota of the team is used up");
        break;
    case QuotaVerdict::Unreachable:
        refuseOperation(*step.request, AnswerCode::Busy,
                        "no allocator of the team's quota answers");
        break;
    }
}

void SessionActor::runStatement(SessionStep step)
{
    if (closeWhenAnswered_) {
        // A statement that was sent ahead is answered, but not passed on any more.
        if (step.request->scope == RequestScope::InTransaction && group_)
            self_->send(group_, EndTransaction{number_});
        const bool single = step.request->scope == RequestScope::Single;
        refuseOperation(*step.request, single ? AnswerCode::Busy : AnswerCode::Aborted,
                        "the proxy is shutting down");
        return;
    }
    if (step.request->scope != RequestScope::InTransaction || !group_)
        group_ = groupOf(step.pool);
    if (!group_) {
        refuseOperation(*step.request, AnswerCode::Busy, "no server group is running for the pool");
        return;
    }
    lostOutcome_ = outcomeOfLostRequest(*step.request);
    self_->send(group_, RunStatement{std::move(*step.request)});
}

/// Answers a statement that was sent to no group.
void SessionActor::refuseOperation(const GroupRequest &request, AnswerCode code,
                                   std::string_view reason)
{
    spdlog::info("event=operation_refused outcome={} id={} session={} route={} team={} reason={}",
                 toString(code), logValue(request.statement.id), number_, logValue(request.route),
                 logValue(request.team.name), logValue(reason));
    StatementFinished refused{request.number, {}};
    refused.answer.answer.error = code;
    refused.answer.answer.text = reason;
    const bool ended =
        request.scope == RequestScope::Single || request.statement.kind == StatementKind::Commit;
    refused.answer.answer.state = ended ? TransactionState::None : TransactionState::Failed;
    handleFinished(refused);
}

void SessionActor::handleFinished(StatementFinished &message)
{
    if (message.number != pendingRequest_ || closed_)
        return;
    pendingRequest_ = 0;
    send(session_->complete(std::move(message.answer)));
    serveNext();
}

caf::actor SessionActor::groupOf(const std::string &pool) const
{
    const auto found = routing_->groups.find(pool);
    return found == routing_->groups.end() ? caf::actor() : found->second;
}

void SessionActor::send(const SessionAnswer &answer)
{
    std::string bytes;
    context_->protocols.sessions->encode(answer, bytes);
    write(bytes);
}

void SessionActor::refuseAndClose(AnswerCode code, std::string_view text)
{
    spdlog::info("event=session_refused session={} outcome={} reason={}", number_, toString(code),
                 logValue(text));
    std::string bytes;
    context_->protocols.sessions->encodeRefusal(code, text, bytes);
    write(bytes);
    close();
}

void SessionActor::write(const std::string &bytes)
{
    if (closed_)
        return;
    unsentBytes_ += bytes.size();
    self_->write(connection_, bytes.size(), bytes.data());
    self_->flush(connection_);
    if (self_->wr_buf(connection_).size() > context_->unsentLimitBytes) {
        spdlog::warn("event=session_closed session={} reason=\"the client does not read\"",
                     number_);
        closeAtOnce();
    }
}

void SessionActor::closeIfIdle()
{
    const bool idle = pendingRequest_ == 0 && !pendingOpening_ && decoder_->buffered() == 0
                      && (!session_ || session_->state() == TransactionState::None);
    if (closeWhenIdle_ && idle)
        close();
}

/// Ends the session once its last answer has been sent.
void SessionActor::close()
{
    if (std::exchange(closed_, true))
        return;
    const bool hasOpenWork =
        session_ && (pendingRequest_ != 0 || session_->state() == TransactionState::Open);
    if (hasOpenWork && group_)
        self_->send(group_, EndTransaction{number_});
    if (unsentBytes_ == 0)
        end();
    else
        self_->delayed_send(self_, context_->sendingTimeout, StopSending::value);
}

/// Ends the session without waiting for its last answer to be sent.
void SessionActor::closeAtOnce()
{
    unsentBytes_ = 0;
    if (closed_)
        end();
    else
        close();
}

void SessionActor::end()
{
    self_->close(connection_);
    self_->quit();
}

} // namespace shallotwalk
