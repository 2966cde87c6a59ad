#include "databases/databaseactor.h"

#include "supervision/logvalue.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace shallotwalk {

namespace {

// Fine enough to refuse queued work within its deadline.
constexpr Duration timerResolution = std::chrono::milliseconds(10);
// Time between two samples of the replicas while writes wait for their confirmation.
constexpr Duration confirmationPace = std::chrono::milliseconds(10);
// A connection answers within its request's deadline and half a second for a rollback; after this
// grace it counts as lost.
constexpr Duration runningGrace = std::chrono::seconds(1);
constexpr Duration monitorRestartDelay = std::chrono::milliseconds(200);

using Tick = caf::atom_constant<caf::atom("tick")>;
using RestartMonitor = caf::atom_constant<caf::atom("monitor")>;

} // namespace

DatabaseActor::DatabaseActor(caf::actor_config &config, DatabaseContext context)
    : caf::event_based_actor(config)
    , context_(std::move(context))
    , view_(context_.tables, context_.pool)
    , group_(groupSettings(pool()))
    , transactions_(context_.vm + "/" + std::to_string(context_.epoch) + "/",
                    context_.settings.transactionIdleLimit)
    , replicaPolicy_(makeReplicaPolicy(context_.settings.replicas))
    , requests_(makeAdmission(context_.settings.admission))
    , connections_(budgetSettings(pool(), context_.settings))
    , servers_(pool().servers)
    , leaseEnd_(context_.leaseEnd)
{
    set_down_handler([this](caf::down_msg &message) { handleDown(message); });
}

caf::behavior DatabaseActor::make_behavior()
{
    start();
    return {
        [this](ExecuteStatement &message) { return execute(std::move(message.request)); },
        [this](RequestFinished &message) { handleFinished(message); },
        [this](const ConnectionOpened &message) { handleOpened(message.connectionId); },
        [this](const ConnectionFailed &message) { handleConnectionFailed(message); },
        [this](const ServerSample &message) { handleSample(message); },
        [this](const PromotionFinished &message) {
            update(group_.promotionFinished(message.order, message.outcome, now()));
        },
        [this](const DatabasePrepared &message) {
            if (message.ok)
                update(group_.databasePrepared(message.vm, message.terms, now()));
        },
        [this](const ConfirmationRecorded &message) {
            update(group_.swapFinished(message.outcome, message.requested, message.current, now()));
        },
        [this](const LeaseExtended &message) {
            leaseEnd_ = message.leaseEnd;
            update(group_.leaseExtended(leaseEnd_, now()));
        },
        [this](LeaseEnded) { endLease(); },
        [this](const LeavingChanged &message) {
            group_.setLeaving(message.vms);
            update(group_.tick(now()));
        },
        [this](const PoolChanged &message) { updateTables(message.tables); },
        [this](Tick, std::uint64_t timer) {
            if (timer == timer_)
                tick();
        },
        [this](RestartMonitor, const std::string &vm) {
            if (auto *server = servers_.find(vm))
                startMonitor(*server);
        },
        [this](DrainRequest) { drain(); },
        [this](StateDumpRequest) { return dump(); },
    };
}

void DatabaseActor::on_exit()
{
    requests_.failAll("the owner of the database failed");
    connections_.closeAll();
    servers_.closeAll();
    context_.ownership = nullptr;
}

void DatabaseActor::start()
{
    for (auto &server : servers_.all())
        startMonitor(server);
    update(group_.ownershipStarted(context_.epoch, context_.confirmation, leaseEnd_, now(),
                                   context_.requestedConfirmation));
}

void DatabaseActor::startMonitor(ServerTable::Server &server)
{
    server.sampling = false;
    server.monitor = context_.spawner->spawnMonitor(this, pool(), server.server, context_.epoch);
    monitor(server.monitor);
}

caf::result<StatementReply> DatabaseActor::execute(StatementRequest request)
{
    const bool inTransaction = request.transaction.has_value();
    if (now() >= leaseEnd_)
        return failureReply(ErrorCode::NotOwner, Verdict::DidNotRun,
                            "this proxy does not own the database at present");
    if (!inTransaction && (draining_ || (closing_ && isLong(request))))
        return failureReply(ErrorCode::Draining, Verdict::DidNotRun, "the owner is shutting down");
    auto promise = make_response_promise<StatementReply>();
    const auto id = requests_.add(std::move(request), promise);
    if (inTransaction) {
        executeInTransaction(id);
    } else {
        const auto *route = view_.findRoute(requests_.find(id)->request.route);
        requests_.submit(id, route, capacity(), now());
    }
    pump();
    return promise;
}

void DatabaseActor::executeInTransaction(WorkId id)
{
    const auto &request = requests_.find(id)->request;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(transaction, transactions_.find(request));
            transaction->busy = true;
            transaction->lastUse = now();
            runOn(transaction->connection, id);
            return {};
        },
        [&](const Failure &failure) {
            finish(id, {failure, std::nullopt, {}});
        },
        [&] { finishWithFailure(id, ErrorCode::Internal, Verdict::DidNotRun, "internal"); });
}

void DatabaseActor::runOn(ConnectionId connection, WorkId id)
{
    auto &entry = *requests_.find(id);
    entry.stage = Stage::Running;
    connections_.run(connection, id, entry.request);
    const auto server = connections_.serverOf(connection);
    group_.setBusyConnections(server, connections_.busyOn(server));
}

void DatabaseActor::pump()
{
    pumpedAt_ = now();
    // A primary may have returned; parked work was admitted before and goes first.
    for (const auto id : requests_.takeParked())
        place(id);
    while (const auto id = requests_.admit(capacity(), now()))
        place(*id);
    for (auto &server : servers_.all())
        serveWaiting(server);
    quitIfDrained();
    scheduleTick();
}

void DatabaseActor::place(WorkId id)
{
    auto *entry = requests_.find(id);
    if (entry == nullptr)
        return;
    entry->stage = Stage::Waiting;
    if (!runsOnPrimary(entry->request)) {
        placeRead(id);
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(server, group_.writeTarget(now()));
            servers_.wait(server, id);
            return {};
        },
        [&](const Failure &failure) {
            if (failure.code == ErrorCode::NotOwner)
                finish(id, {failure, std::nullopt, {}});
            else
                requests_.park(id, failure, now());
        },
        [&] { finishWithFailure(id, ErrorCode::Internal, Verdict::DidNotRun, "internal"); });
}

void DatabaseActor::placeRead(WorkId id)
{
    const auto &request = requests_.find(id)->request;
    const auto *route = view_.findRoute(request.route);
    // The session's own write may be missing from an incomplete cookie (R1).
    const bool covers = route == nullptr || request.session.mayHaveLost(request.pool);
    const auto staleness = covers ? Duration::zero() : route->maxStaleness;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(requirement,
                            group_.readRequirement(request.session.positionFor(request.pool),
                                                   staleness, now()));
            const auto server =
                replicaPolicy_->choose(requirement, group_.servers(), group_.primary(), now());
            if (server)
                servers_.wait(*server, id);
            else
                requests_.park(id,
                               {ErrorCode::NoServer, Verdict::DidNotRun,
                                "no backend server can serve the read"},
                               now());
            return {};
        },
        [&](const Failure &failure, const SessionReset &reset) {
            finish(id, {failure, reset.position, {}});
        },
        [&](const Failure &failure) {
            if (failure.code == ErrorCode::NoPrimary)
                requests_.park(id, failure, now());
            else
                finish(id, {failure, std::nullopt, {}});
        },
        [&] { finishWithFailure(id, ErrorCode::Internal, Verdict::DidNotRun, "internal"); });
}

void DatabaseActor::serveWaiting(ServerTable::Server &server)
{
    auto &waiting = server.waiting;
    while (!waiting.empty()) {
        const auto id = waiting.front();
        if (requests_.find(id) == nullptr) {
            waiting.pop_front();
            continue;
        }
        const auto step = connections_.acquire(server.server.vm, now());
        if (const auto *use = std::get_if<UseConnection>(&step)) {
            waiting.pop_front();
            runOn(use->id, id);
            continue;
        }
        if (const auto *open = std::get_if<OpenConnection>(&step))
            openConnection(server.server, open->id);
        return;
    }
}

void DatabaseActor::openConnection(const BackendServer &server, ConnectionId id)
{
    auto interrupt = std::make_shared<Interrupt>();
    auto connection =
        context_.spawner->spawnConnection(this, pool(), server, context_.epoch, id, interrupt);
    monitor(connection);
    connections_.add(id, std::move(connection), std::move(interrupt));
}

void DatabaseActor::handleFinished(RequestFinished &message)
{
    // A request that was abandoned on this connection may run on another one meanwhile.
    const bool awaited = connections_.running(message.connectionId) == message.id;
    if (awaited)
        connections_.takeRunning(message.connectionId);
    if (!message.usable)
        connections_.retire(message.connectionId);
    auto *entry = awaited ? requests_.find(message.id) : nullptr;
    if (entry == nullptr) {
        // The caller was answered before; an open transaction of its would never end.
        if (message.inTransaction)
            connections_.close(message.connectionId);
        else if (message.usable)
            connections_.released(message.connectionId, now());
    } else {
        settleTransaction(*entry, message);
        answer(*entry, message);
    }
    pump();
}

void DatabaseActor::settleTransaction(const RequestTable::Entry &entry, RequestFinished &message)
{
    const bool begun = message.inTransaction && message.usable && ran(message.reply);
    if (entry.request.transaction)
        finishInTransaction(entry.request, message);
    else if (begun)
        beginTransaction(entry.request, message);
    else if (message.usable)
        connections_.released(message.connectionId, now());
    if (!message.usable)
        abortTransactions(message.connectionId);
}

void DatabaseActor::answer(RequestTable::Entry &entry, RequestFinished &message)
{
    const auto &request = entry.request;
    if (auto *result = std::get_if<StatementResult>(&message.reply.outcome))
        result->fromReplica = isReplica(result->server);
    const bool write = request.access == Access::Write && request.operation == Operation::Statement
                       && !request.transaction;
    const bool commit = request.operation == Operation::Commit;
    if (ran(message.reply) && (write || commit)) {
        entry.stage = Stage::Confirming;
        entry.reply = std::move(message.reply);
        const auto position = std::get<StatementResult>(entry.reply->outcome).position;
        run(group_.writeRan(message.id, position, request.deadline, now()));
        sampleForConfirmation();
    } else if (!runsOnPrimary(request) && now() >= leaseEnd_) {
        // Another owner may have acknowledged writes that this read doesn't show.
        finishWithFailure(message.id, ErrorCode::NotOwner, Verdict::DidNotRun,
                          "the lease ended during the read");
    } else {
        finish(message.id, std::move(message.reply));
    }
}

bool DatabaseActor::isReplica(std::string_view vm) const
{
    const auto primary = group_.primary();
    return !primary || group_.servers()[*primary].vm != vm;
}

void DatabaseActor::finishInTransaction(const StatementRequest &request,
                                        const RequestFinished &message)
{
    const auto &id = *request.transaction;
    const bool commit = request.operation == Operation::Commit;
    if (message.inTransaction && message.usable) {
        transactions_.finished(id, now());
        return;
    }
    std::optional<bool> committed;
    if (ran(message.reply))
        committed = commit;
    else if (std::get<Failure>(message.reply.outcome).verdict == Verdict::DidNotRun)
        committed = false;
    if (const auto ended = transactions_.close(id, committed))
        requests_.releasePlace(ended->work, now());
    if (message.usable)
        connections_.released(message.connectionId, now());
}

void DatabaseActor::beginTransaction(const StatementRequest &request, RequestFinished &message)
{
    // The admitted work lives on as the transaction, which keeps its connection.
    requests_.passPlace(message.id);
    TransactionTable::Transaction transaction;
    transaction.connection = message.connectionId;
    transaction.work = message.id;
    transaction.caller = request.caller;
    transaction.lastUse = now();
    std::get<StatementResult>(message.reply.outcome).transaction =
        transactions_.open(std::move(transaction));
}

void DatabaseActor::handleOpened(ConnectionId id)
{
    connections_.opened(id, now());
    pump();
}

void DatabaseActor::handleConnectionFailed(const ConnectionFailed &message)
{
    spdlog::warn("event=connection_failed pool={} server={} error={}", context_.pool,
                 connections_.serverOf(message.connectionId), logValue(message.failure.message));
    connections_.failedToOpen(message.connectionId, now());
}

void DatabaseActor::handleConnectionDown(ConnectionId id)
{
    // The actor failed without an answer, so the request may have reached the server.
    abandonRequest(id, "the connection to the backend server failed");
    connections_.closed(id, now());
    pump();
}

void DatabaseActor::handleDown(const caf::down_msg &message)
{
    if (const auto *server = servers_.findMonitor(message.source))
        delayed_send(this, monitorRestartDelay, RestartMonitor::value, server->server.vm);
    else if (const auto id = connections_.find(message.source))
        handleConnectionDown(*id);
}

void DatabaseActor::abortTransactions(ConnectionId id)
{
    // A commit in progress ends as unknown; anything else rolls back with the connection.
    const auto running = connections_.running(id);
    const auto *entry = running ? requests_.find(*running) : nullptr;
    const bool committing = entry != nullptr && entry->request.operation == Operation::Commit;
    const auto committed = committing ? std::optional<bool>() : std::optional<bool>(false);
    for (const auto &transaction : transactions_.onConnection(id)) {
        if (const auto ended = transactions_.close(transaction, committed))
            requests_.releasePlace(ended->work, now());
    }
}

void DatabaseActor::closeConnections(const CloseConnections &action)
{
    for (const auto id : connections_.connectionsTo(action.vm)) {
        if (!action.atOnce) {
            connections_.close(id);
            continue;
        }
        connections_.cut(id);
        if (!placeAgain(id))
            abandonRequest(id, "the primary failed or was replaced");
    }
    for (const auto id : servers_.takeWaiting(action.vm))
        place(id);
}

bool DatabaseActor::placeAgain(ConnectionId id)
{
    const auto running = connections_.running(id);
    const auto *entry = running ? requests_.find(*running) : nullptr;
    if (entry == nullptr || runsOnPrimary(entry->request) || entry->request.transaction)
        return false;
    connections_.takeRunning(id);
    place(*running);
    return true;
}

void DatabaseActor::abandonRequest(ConnectionId id, std::string_view reason)
{
    abortTransactions(id);
    const auto running = connections_.takeRunning(id);
    const auto *entry = running ? requests_.find(*running) : nullptr;
    if (entry == nullptr)
        return;
    finishWithFailure(*running, ErrorCode::ConnectionLost,
                      runsOnPrimary(entry->request) ? Verdict::MayHaveRun : Verdict::DidNotRun,
                      std::string(reason));
}

void DatabaseActor::handleSample(const ServerSample &message)
{
    if (auto *server = servers_.find(message.status.vm))
        server->sampling = false;
    update(group_.sample(message.status, now()));
}

void DatabaseActor::sampleForConfirmation()
{
    // Without this a write would wait for the next regular sample, up to 200 ms. The tick repeats
    // it while writes wait; one sample per server is outstanding at a time.
    if (group_.unacknowledgedWrites() > 0)
        servers_.sampleReplicas(group_.primary());
}

void DatabaseActor::run(GroupActions actions)
{
    for (const auto &action : actions)
        perform(action);
}

void DatabaseActor::update(GroupActions actions)
{
    run(std::move(actions));
    pump();
}

void DatabaseActor::perform(const GroupAction &action)
{
    if (const auto *acknowledged = std::get_if<Acknowledge>(&action)) {
        requests_.acknowledge(acknowledged->id, acknowledged->position, now());
    } else if (const auto *failed = std::get_if<FailWrite>(&action)) {
        finish(failed->id, {failed->failure, std::nullopt, {}});
    } else if (const auto *sample = std::get_if<SampleNow>(&action)) {
        servers_.sample(*sample);
    } else if (const auto *promotion = std::get_if<PromoteServer>(&action)) {
        spdlog::warn("event=promoting pool={} epoch={} server={}", context_.pool, context_.epoch,
                     promotion->vm);
        servers_.tell(promotion->vm, *promotion);
    } else if (const auto *record = std::get_if<PrepareDatabase>(&action)) {
        servers_.tell(record->vm, RecordTerm{record->row});
    } else if (const auto *closing = std::get_if<CloseConnections>(&action)) {
        closeConnections(*closing);
    } else if (const auto *swap = std::get_if<SwapConfirmationSet>(&action)) {
        changeConfirmation(*swap);
    }
}

void DatabaseActor::changeConfirmation(const SwapConfirmationSet &action)
{
    std::string members;
    for (const auto &member : action.record.members)
        members += (members.empty() ? "" : ",") + member;
    spdlog::info("event=confirmation_set_change pool={} epoch={} members={} count={}",
                 context_.pool, context_.epoch, logValue(members), action.record.count);
    send(context_.ownership, ChangeConfirmation{action.record});
}

void DatabaseActor::tick()
{
    tickDue_ = TimePoint::max();
    const auto time = now();
    if (time >= leaseEnd_) {
        endLease();
        return;
    }
    run(group_.tick(time));
    requests_.expire(time);
    sampleForConfirmation();
    expireRunning(time);
    closeIdleTransactions(time);
    pump();
}

TimePoint DatabaseActor::nextDue(TimePoint now) const
{
    auto due =
        std::min({leaseEnd_, group_.nextDue(), requests_.nextDue(now), transactions_.nextDue()});
    if (group_.unacknowledgedWrites() > 0)
        due = std::min(due, now + confirmationPace);
    for (const auto &[connection, id] : connections_.running()) {
        const auto *entry = requests_.find(id);
        due = std::min(due, entry == nullptr ? now : entry->request.deadline + runningGrace);
    }
    for (const auto &server : servers_.all()) {
        // Other reasons to wait for a connection end with a message.
        const auto retryAt = connections_.retryAt(server.server.vm);
        if (!server.waiting.empty() && retryAt > pumpedAt_)
            due = std::min(due, retryAt);
    }
    return due;
}

void DatabaseActor::scheduleTick()
{
    const auto time = now();
    const auto earliest = time + timerResolution;
    // Saves the search through all open work on most statements.
    if (tickDue_ <= earliest)
        return;
    const auto due = std::max(nextDue(time), earliest);
    if (tickDue_ <= due)
        return;
    tickDue_ = due;
    delayed_send(this, due - time, Tick::value, ++timer_);
}

void DatabaseActor::expireRunning(TimePoint time)
{
    std::vector<ConnectionId> silent;
    for (const auto &[connection, id] : connections_.running()) {
        const auto *entry = requests_.find(id);
        if (entry == nullptr || entry->request.deadline + runningGrace <= time)
            silent.push_back(connection);
    }
    for (const auto connection : silent) {
        abandonRequest(connection, "no answer from the backend server");
        connections_.cut(connection);
    }
}

void DatabaseActor::closeIdleTransactions(TimePoint time)
{
    for (const auto &id : transactions_.idle(time)) {
        const auto ended = transactions_.close(id, false);
        requests_.releasePlace(ended->work, time);
        connections_.close(ended->connection);
    }
}

void DatabaseActor::drain()
{
    closing_ = true;
    quitIfDrained();
}

bool DatabaseActor::isLong(const StatementRequest &request) const
{
    const auto *route = view_.findRoute(request.route);
    return request.operation == Operation::Begin
           || (route != nullptr && route->kind == WorkKind::Long);
}

void DatabaseActor::quitIfDrained()
{
    // Short work goes on until transactions and long work have ended, so that a drain doesn't
    // hold it up behind them.
    const auto &entries = requests_.entries();
    if (closing_ && !draining_) {
        draining_ = transactions_.size() == 0
                    && std::none_of(entries.begin(), entries.end(), [this](const auto &entry) {
                           return isLong(entry.second.request);
                       });
    }
    if (!draining_ || !entries.empty() || transactions_.size() != 0)
        return;
    quit();
}

void DatabaseActor::endLease()
{
    leaseEnd_ = TimePoint::min();
    run(group_.ownershipEnded(now()));
    requests_.failAll("the lease of the database ended");
    quit();
}

void DatabaseActor::updateTables(std::shared_ptr<const Tables> tables)
{
    context_.tables = std::move(tables);
    view_ = PoolView(context_.tables, context_.pool);
    connections_.setLimit(workConnections(pool()));
    pump();
}

void DatabaseActor::finish(WorkId id, StatementReply reply)
{
    requests_.finish(id, std::move(reply), now());
}

void DatabaseActor::finishWithFailure(WorkId id, ErrorCode code, Verdict verdict,
                                      std::string message)
{
    finish(id, failureReply(code, verdict, std::move(message)));
}

Capacity DatabaseActor::capacity() const
{
    Capacity capacity;
    capacity.total = static_cast<std::uint32_t>(connections_.limit());
    capacity.busy = requests_.active();
    capacity.longSlots = pool().longSlots;
    return capacity;
}

StateDump DatabaseActor::dump() const
{
    boost::json::array servers;
    for (const auto &status : group_.servers()) {
        servers.push_back(boost::json::object{
            {"vm", status.vm},
            {"reachable", status.reachable},
            {"leaving", status.leaving},
            {"primary", !status.inRecovery},
            {"term", status.received.term},
            {"received", status.received.lsn},
            {"replayed", status.replayed.lsn},
            {"busy_connections", status.busyConnections},
        });
    }
    const auto &counters = requests_.counters();
    boost::json::array members;
    for (const auto &member : group_.confirmationSet().members)
        members.emplace_back(member);
    return {boost::json::object{
        {"pool", context_.pool},
        {"epoch", context_.epoch},
        {"lease_left_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(leaseEnd_ - now()).count()},
        {"term", group_.term()},
        {"servers", std::move(servers)},
        {"confirmation_set", std::move(members)},
        {"confirmation_count", group_.confirmationSet().count},
        {"connections", connections_.total()},
        {"connection_limit", connections_.limit()},
        {"active", requests_.active()},
        {"queued", requests_.queued()},
        {"requests", requests_.entries().size()},
        {"transactions", transactions_.size()},
        {"replica_reads", counters.replicaReads},
        {"primary_reads", counters.primaryReads},
        {"acknowledged_writes", counters.acknowledgedWrites},
        {"refused", counters.refused},
    }};
}

} // namespace shallotwalk
