#include "gateway/groupactor.h"

#include "wire/socketconnect.h"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <cerrno>

namespace shallotwalk {

namespace {

using TimerExpired = caf::atom_constant<caf::atom("tick")>;
using ReviewChoice = caf::atom_constant<caf::atom("review")>;
using OpenFailed = caf::atom_constant<caf::atom("openfailed")>;

constexpr std::size_t maxReadBytes = 65536;
/// The kernel closes a connection to a server that leaves data unacknowledged for this long.
constexpr int tcpUserTimeoutMs = 3000;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string toText(Position position)
{
    return std::to_string(position.term) + '.' + std::to_string(position.lsn);
}

} // namespace

caf::behavior GroupActor::run(Broker *self, GroupContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior GroupActor::start(GroupContext context)
{
    context_ = std::move(context);
    scheduler_ = std::make_unique<GroupScheduler>(context_.scheduler, *this);
    return {
        [this](RunStatement &message) {
            const auto number = message.request.number;
            requesters_[number] = caf::actor_cast<caf::actor>(self_->current_sender());
            scheduler_->submit(std::move(message.request), context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](const EndTransaction &message) {
            scheduler_->endTransaction(message.session, context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](const caf::io::new_data_msg &message) { handleData(message); },
        [this](const caf::io::connection_closed_msg &message) { handleClosed(message); },
        [this](TimerExpired) {
            timerDueAt_ = TimePoint::max();
            scheduler_->tick(context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](OpenFailed) {
            for (const auto &key : std::exchange(failedToOpen_, {}))
                scheduler_->connectionLost(key, "connect failed", context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](const GroupConfigured &message) { configure(message); },
        [this](const PromotionRecorded &message) {
            recordRevision_ = std::max(recordRevision_, message.record.revision);
            recordNumber_ = std::max(recordNumber_, message.record.number);
            scheduler_->promotionSeen(message.record, context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](const ConfirmPromotion &message) {
            const auto wait = scheduler_->confirmationDelay(context_.clock->now());
            if (wait > Duration::zero())
                self_->delayed_send(self_, wait, ReviewChoice::value, message);
            else
                confirmPromotion(message);
        },
        [this](ReviewChoice, const ConfirmPromotion &message) { confirmPromotion(message); },
        [this](const SuspicionsChanged &message) {
            scheduler_->setWitness(message.role.witness, message.role.rank);
            scheduler_->setSuspicions(message.servers, message.role.witnesses,
                                      context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](const WatermarksHeard &message) {
            const auto now = context_.clock->now();
            for (const auto &watermark : message.watermarks) {
                scheduler_->acknowledgedHeard(watermark.acknowledged);
                scheduler_->watermarkHeard(watermark.position, watermark.sentAt, now);
            }
            updateTimerAndReportChanges();
        },
        [this](const PromotionFailed &message) {
            scheduler_->promotionFailed(message.choice.server, context_.clock->now());
            updateTimerAndReportChanges();
        },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) { return dump(); },
        [this](MetricsRequest) { return metrics(); },
    };
}

void GroupActor::confirmPromotion(const ConfirmPromotion &message)
{
    const auto &choice = message.choice;
    const bool confirmed = scheduler_->confirmsPromotion(choice.server, context_.clock->now());
    self_->send(context_.promotions, PromotionConfirmed{choice.service, message.token, confirmed});
}

void GroupActor::configure(const GroupConfigured &message)
{
    const auto now = context_.clock->now();
    scheduler_->setConfirmReplicas(message.confirmReplicas);
    scheduler_->setTransactionIdleLimit(message.transactionIdleLimit);
    scheduler_->setConnectionsPerTeam(message.connectionsPerTeam);
    scheduler_->setWitness(message.role.witness, message.role.rank);
    scheduler_->setConnections(message.connections, now);
    scheduler_->setServers(message.servers, now);
    updateTimerAndReportChanges();
}

void GroupActor::handleData(const caf::io::new_data_msg &message)
{
    const auto found = keysByHandle_.find(message.handle);
    if (found == keysByHandle_.end())
        return;
    const auto key = found->second;
    connections_.at(key).decoder->append(std::span(message.buf.data(), message.buf.size()));
    const auto now = context_.clock->now();
    for (;;) {
        // The scheduler may close the connection while it handles a reply.
        const auto connection = connections_.find(key);
        if (connection == connections_.end())
            break;
        auto next = connection->second.decoder->next();
        if (!next)
            break;
        if (auto *reply = std::get_if<ServerReply>(&*next)) {
            scheduler_->replied(key, std::move(*reply), now);
            continue;
        }
        const auto &invalid = std::get<InvalidMessage>(*next);
        spdlog::warn("event=server_reply_malformed service={} reason={}",
                     logValue(context_.scheduler.service), logValue(invalid.reason));
        closeConnection(key);
        scheduler_->connectionLost(key, invalid.reason, now);
    }
    updateTimerAndReportChanges();
}

void GroupActor::handleClosed(const caf::io::connection_closed_msg &message)
{
    const auto found = keysByHandle_.find(message.handle);
    if (found == keysByHandle_.end())
        return;
    const auto key = found->second;
    connections_.erase(key);
    keysByHandle_.erase(found);
    scheduler_->connectionLost(key, "closed by the server", context_.clock->now());
    updateTimerAndReportChanges();
}

/// Sets the timer for the scheduler's next due time, and reports and logs changes of its state.
void GroupActor::updateTimerAndReportChanges()
{
    const auto now = context_.clock->now();
    const auto due = scheduler_->nextDue(now);
    // A later timer that is still pending isn't cancelled: it only causes one extra tick().
    if (due < timerDueAt_) {
        timerDueAt_ = due;
        self_->delayed_send(self_, due - now, TimerExpired::value);
    }
    const bool serving = scheduler_->canServe(now);
    if (serving != reportedServing_) {
        reportedServing_ = serving;
        self_->send(context_.manager, ServingChanged{context_.scheduler.service, serving});
    }
    if (const auto term = scheduler_->pauseTerm(); term != loggedPauseTerm_) {
        spdlog::info("event=replicas_pausing service={} term={} reason={}",
                     logValue(context_.scheduler.service), term, logValue(scheduler_->suspicion()));
        loggedPauseTerm_ = term;
    }
    if (const auto blockedBy = scheduler_->blockedBy(); !std::equal(
            blockedBy.begin(), blockedBy.end(), loggedBlockedBy_.begin(), loggedBlockedBy_.end())) {
        loggedBlockedBy_.assign(blockedBy.begin(), blockedBy.end());
        spdlog::warn("event=promotion_blocked service={} by={} reason={}",
                     logValue(context_.scheduler.service),
                     logValue(fmt::format("{}", fmt::join(loggedBlockedBy_, ","))),
                     logValue(scheduler_->suspicion()));
    }
    std::string primary;
    for (const auto &[number, link] : scheduler_->servers()) {
        if (link.primary)
            primary = link.registration.id;
    }
    if (primary != loggedPrimary_) {
        spdlog::info("event=primary_changed service={} from={} to={} term={} reason={}",
                     logValue(context_.scheduler.service), logValue(loggedPrimary_),
                     logValue(primary), scheduler_->watermarks().term(),
                     logValue(scheduler_->suspicion()));
        loggedPrimary_ = primary;
    }
}

void GroupActor::openConnection(ServerConnectionKey key, const ServerRegistration &server,
                                std::string_view team)
{
    const int descriptor = openConnectingSocket(server.host, server.port, tcpUserTimeoutMs);
    if (descriptor < 0) {
        spdlog::warn("event=connect_failed server={} address={}:{} errno={}", logValue(server.id),
                     server.host, server.port, errno);
        // GroupPort forbids calling the scheduler back before its own call has returned.
        failedToOpen_.push_back(key);
        self_->send(self_, OpenFailed::value);
        return;
    }
    const auto handle = self_->add_scribe(descriptor);
    self_->configure_read(handle, caf::io::receive_policy::at_most(maxReadBytes));
    connections_[key] = {handle, context_.protocols.sessions->makeServerDecoder()};
    keysByHandle_[handle] = key;
    std::string bytes;
    context_.protocols.sessions->encodeOpening(server, team, bytes);
    self_->write(handle, bytes.size(), bytes.data());
    self_->flush(handle);
}

void GroupActor::sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands)
{
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return; // The scheduler is about to be told that it was lost.
    std::string bytes;
    for (const auto &command : commands)
        context_.protocols.sessions->encode(command, bytes);
    self_->write(found->second.handle, bytes.size(), bytes.data());
    self_->flush(found->second.handle);
}

void GroupActor::closeConnection(ServerConnectionKey key)
{
    const auto found = connections_.find(key);
    if (found == connections_.end())
        return;
    keysByHandle_.erase(found->second.handle);
    self_->close(found->second.handle);
    connections_.erase(found);
}

void GroupActor::answer(const GroupRequest &request, GroupAnswer answer)
{
    recordLatency(request, answer);
    logOutcome(request, answer);
    const auto found = requesters_.extract(request.number);
    if (found.empty())
        return;
    self_->send(found.mapped(), StatementFinished{request.number, std::move(answer)});
}

void GroupActor::recordLatency(const GroupRequest &request, const GroupAnswer &answer)
{
    const auto now = context_.clock->now();
    const auto outcome = answer.answer.error ? toString(*answer.answer.error) : "ok";
    latencies_[std::string(outcome)].add(now - request.receivedAt);
    queueTimes_.add(answer.firstSentAt.value_or(now) - request.receivedAt);
}

void GroupActor::logOutcome(const GroupRequest &request, const GroupAnswer &answer) const
{
    const auto elapsedMs = milliseconds(context_.clock->now() - request.receivedAt);
    if (!answer.answer.error) {
        spdlog::debug("event=statement_served id={} session={} service={} server={} position={} "
                      "committed={} ms={}",
                      logValue(request.statement.id), request.session,
                      logValue(context_.scheduler.service), logValue(answer.server),
                      logValue(answer.answer.position ? toText(*answer.answer.position) : "-"),
                      answer.committed, elapsedMs);
        return;
    }
    spdlog::info("event=statement_failed outcome={} id={} session={} service={} server={} route={} "
                 "team={} reason={} ms={} session_position={} watermark_age_ms={}",
                 toString(*answer.answer.error), logValue(request.statement.id), request.session,
                 logValue(context_.scheduler.service), logValue(answer.server),
                 logValue(request.route), logValue(request.team.name), logValue(answer.answer.text),
                 elapsedMs, logValue(toText(request.sessionPosition)),
                 milliseconds(context_.clock->now() - scheduler_->watermarks().newestAt()));
}

void GroupActor::requestRetried(const GroupRequest &request, std::string_view server,
                                std::optional<AnswerCode> code)
{
    spdlog::info("event=statement_repeated id={} session={} service={} server={} outcome={} ms={}",
                 logValue(request.statement.id), request.session,
                 logValue(context_.scheduler.service), logValue(server),
                 code ? toString(*code) : "no_answer",
                 milliseconds(context_.clock->now() - request.receivedAt));
}

void GroupActor::requestStranded(const GroupRequest &request)
{
    spdlog::warn("event=request_stranded id={} session={} service={} route={} team={} ms={}",
                 logValue(request.statement.id), request.session,
                 logValue(context_.scheduler.service), logValue(request.route),
                 logValue(request.team.name),
                 milliseconds(context_.clock->now() - request.receivedAt));
}

void GroupActor::connectionRefused(std::string_view server, AnswerCode code, Duration retryDelay)
{
    spdlog::info("event=connection_refused service={} server={} outcome={} share={} standing={} "
                 "retry_ms={}",
                 logValue(context_.scheduler.service), logValue(server), toString(code),
                 scheduler_->connections().share, scheduler_->connections().standing,
                 milliseconds(retryDelay));
}

void GroupActor::shareWatermark(Position position, TimePoint sentAt, Position acknowledged)
{
    self_->send(context_.exchange,
                WatermarkObserved{{context_.scheduler.service, position, sentAt, acknowledged}});
}

void GroupActor::reportSuspicion(std::string_view server, bool suspected)
{
    spdlog::info("event=primary_suspicion service={} server={} suspected={} reason={}",
                 logValue(context_.scheduler.service), logValue(server), suspected,
                 logValue(scheduler_->suspicion()));
    self_->send(context_.directory,
                ReportSuspicion{context_.scheduler.service, std::string(server), suspected});
}

void GroupActor::primaryDemoted(std::string_view server, bool demoted, Position position)
{
    spdlog::info("event=primary_demotion service={} server={} demoted={} position={}",
                 logValue(context_.scheduler.service), logValue(server), demoted,
                 logValue(toText(position)));
}

void GroupActor::orderPromotion(const PromotionChoice &choice)
{
    spdlog::warn("event=promotion_wanted service={} server={} position={} ended_term={} reason={}",
                 logValue(choice.service), logValue(choice.server),
                 logValue(toText(choice.position)), choice.endedTerm, choice.reason);
    self_->send(context_.promotions, OrderPromotion{choice, recordRevision_, recordNumber_ + 1});
}

StateDump GroupActor::dump() const
{
    boost::json::array servers;
    const auto now = context_.clock->now();
    for (const auto &[number, link] : scheduler_->servers()) {
        servers.push_back(
            boost::json::object{{"id", link.registration.id},
                                {"primary", link.primary},
                                {"leaving", link.leavingSince.has_value()},
                                {"registered", link.registered},
                                {"term", link.term},
                                {"position", toText(link.position)},
                                {"connections", link.connections.size()},
                                {"connectionLimit", link.budget.limit()},
                                {"avoided", link.errors.avoided()},
                                {"busy", link.budget.busy()},
                                {"queued", link.policy->queued()},
                                {"silentMs", milliseconds(link.silence(now))},
                                {"expectedResponseMs", milliseconds(link.response.expected(now))}});
    }
    return {boost::json::object{{"service", context_.scheduler.service},
                                {"servers", std::move(servers)},
                                {"openRequests", scheduler_->openRequests()},
                                {"openTransactions", scheduler_->openTransactions()},
                                {"primarySuspicion", scheduler_->suspicion()},
                                {"lastBrokenConnection", scheduler_->lastConnectionError()}}};
}

MetricsText GroupActor::metrics() const
{
    const auto &counters = scheduler_->counters();
    const auto labels = "service=\"" + context_.scheduler.service + "\"";
    auto text =
        metricText("shallotwalk_statements_total", "counter", "Statements for a group.",
                   counters.requests, labels)
        + metricText("shallotwalk_statements_replica_total", "counter",
                     "Statements answered by a replica.", counters.answeredByReplica, labels)
        + metricText("shallotwalk_statements_primary_total", "counter",
                     "Statements answered by the primary.", counters.answeredByPrimary, labels)
        + metricText("shallotwalk_retries_total", "counter", "Statements that were sent again.",
                     counters.retries, labels)
        + metricText("shallotwalk_requests_stranded_total", "counter",
                     "Requests that were found unanswered after their deadline.",
                     counters.requestsStranded, labels)
        + metricText("shallotwalk_promotions_ordered_total", "counter",
                     "Promotions that this proxy has asked for.", counters.promotionsOrdered,
                     labels)
        + metricText("shallotwalk_server_connections_opened_total", "counter",
                     "Connections opened to backend servers.", counters.connectionsOpened, labels)
        + metricText("shallotwalk_server_connections_lost_total", "counter",
                     "Connections to backend servers that ended early.", counters.connectionsLost,
                     labels)
        + metricText("shallotwalk_server_connections_refused_total", "counter",
                     "Connections that backend servers refused.", counters.connectionsRefused,
                     labels)
        + metricText("shallotwalk_server_replies_lost_total", "counter",
                     "Connections closed because a reply was missing.", counters.repliesLost,
                     labels)
        + metricText("shallotwalk_server_replies_withheld_total", "counter",
                     "Errors that awaited the replies due behind them.", counters.repliesWithheld,
                     labels)
        + metricText("shallotwalk_watermarks_heard_total", "counter",
                     "Positions of the primary from other proxies.", counters.watermarksHeard,
                     labels)
        + metricText("shallotwalk_watermarks_shared_total", "counter",
                     "Positions of the primary passed on to other proxies.",
                     counters.watermarksShared, labels);
    for (const auto &[code, count] : counters.errors) {
        text += metricText("shallotwalk_statement_errors_total", "counter",
                           "Statements answered with an error.", count,
                           labels + ",code=\"" + std::string(toString(code)) + "\"");
    }
    text += latencyMetrics(labels);
    text += connectionMetrics(labels);
    return {std::move(text)};
}

std::string GroupActor::latencyMetrics(std::string_view labels) const
{
    std::string text = "# HELP shallotwalk_statement_seconds Time from a statement to its answer.\n"
                       "# TYPE shallotwalk_statement_seconds summary\n";
    for (const auto &[outcome, latency] : latencies_) {
        text += latency.toText("shallotwalk_statement_seconds",
                               std::string(labels) + ",outcome=\"" + outcome + "\"");
    }
    text += "# HELP shallotwalk_queue_seconds Time that a statement waits in the proxy.\n"
            "# TYPE shallotwalk_queue_seconds summary\n";
    return text + queueTimes_.toText("shallotwalk_queue_seconds", labels);
}

std::string GroupActor::connectionMetrics(std::string_view labels) const
{
    std::size_t open = 0;
    std::size_t limit = 0;
    std::size_t queued = 0;
    for (const auto &[number, link] : scheduler_->servers()) {
        open += link.openConnections();
        limit += scheduler_->connections().share;
        queued += link.policy->queued();
    }
    const auto watermarkAge = context_.clock->now() - scheduler_->watermarks().newestAt();
    return metricText("shallotwalk_server_connections", "gauge",
                      "Open connections to the servers of a group.", open, labels)
           + metricText("shallotwalk_server_connection_share", "gauge",
                        "Connections that this proxy may keep to them.", limit, labels)
           + metricText("shallotwalk_queued_statements", "gauge",
                        "Statements that wait for a connection.", queued, labels)
           + metricText("shallotwalk_watermark_age_ms", "gauge",
                        "Since the newest known position of the primary was asked for.",
                        milliseconds(watermarkAge), labels);
}

} // namespace shallotwalk
