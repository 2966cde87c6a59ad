#include "databases/ownershipactor.h"

#include "peers/messages.h"
#include "supervision/logvalue.h"
#include "wire/wire.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

constexpr Duration storeCallTimeout = std::chrono::milliseconds(1500);

using Tick = caf::atom_constant<caf::atom("tick")>;

std::string ownerKey(std::string_view pool)
{
    return std::string(ownerKeyPrefix) + std::string(pool);
}

ConfirmationRecord confirmationOf(const OwnerRecord &record)
{
    return {record.confirmationSet, record.confirmCount};
}

std::string_view toString(StopReason reason)
{
    switch (reason) {
    case StopReason::LeaseExpired:
        return "lease_expired";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::Drained:
        return "drained";
    }
    return "unknown";
}

} // namespace

OwnershipActor::OwnershipActor(caf::actor_config &config, OwnershipContext context)
    : caf::event_based_actor(config)
    , context_(std::move(context))
    , machine_(context_.pool, context_.vm, context_.ownership, context_.clock->now())
{
    set_down_handler([this](caf::down_msg &message) { handleDown(message); });
}

caf::behavior OwnershipActor::make_behavior()
{
    update({});
    return {
        [this](Tick, std::uint64_t timer) {
            if (timer != lastTimer_)
                return;
            timerDue_ = TimePoint::max();
            update(machine_.tick(now()));
        },
        [this](ExecuteStatement &message) { return execute(message); },
        [this](const PromiseReply &reply) { update(machine_.promiseReplied(reply, now())); },
        [this](const PromiseRequest &request) { update(machine_.ownerHeard(request, now())); },
        [this](const OwnerRecordNotice &notice) {
            update(
                machine_.recordSeen(notice.record, notice.revision, RecordSource::Notice, now()));
        },
        [this](const RankingChanged &message) {
            update(machine_.membersChanged(message.ranking, now()));
        },
        [this](const LeavingChanged &message) {
            leaving_ = message.vms;
            if (database_)
                send(database_, message);
        },
        [this](const PoolChanged &message) { updateTables(message); },
        [this](const ChangeConfirmation &message) { changeConfirmation(message); },
        [this](DrainRequest) { drain(); },
        [this](StateDumpRequest) { return dump(); },
    };
}

void OwnershipActor::on_exit()
{
    // The database actor must not serve without the machine that renews its lease.
    if (database_)
        send_exit(database_, caf::exit_reason::user_shutdown);
    database_ = nullptr;
    context_.manager = nullptr;
}

void OwnershipActor::update(const OwnershipActions &actions)
{
    run(actions);
    if (machine_.nextDue() <= now())
        run(machine_.tick(now()));
    reviewConfirmation();
    // The database actor ends with the lease by itself, and the lease may be renewed just then.
    if (!database_ && !draining_ && servedEpoch_ != 0 && machine_.mayServe(now()))
        startDatabase(servedEpoch_);
    if (draining_ && !machine_.mayServe(now()) && !database_) {
        run(machine_.finish());
        quit();
        return;
    }
    scheduleTick();
}

void OwnershipActor::scheduleTick()
{
    auto due = machine_.nextDue();
    if (proposed_ && database_ && !machine_.swapOutstanding() && machine_.mayServe(now()))
        due = std::min(due, machine_.nextSwap());
    // A timer that is too early, as after each sign of life of the owner, sets the next one.
    if (due >= timerDue_)
        return;
    timerDue_ = due;
    delayed_send(this, std::max(due - now(), Duration(0)), Tick::value, ++lastTimer_);
}

void OwnershipActor::run(const OwnershipActions &actions)
{
    for (const auto &action : actions)
        perform(action);
    extendLease();
}

void OwnershipActor::perform(const OwnershipAction &action)
{
    if (const auto *swap = std::get_if<SwapRecord>(&action))
        swapRecord(*swap);
    else if (std::holds_alternative<ReadRecord>(action))
        readRecord();
    else if (const auto *ask = std::get_if<AskPromise>(&action))
        askPromise(*ask);
    else if (const auto *begin = std::get_if<BeginServing>(&action))
        startDatabase(begin->epoch);
    else if (const auto *stop = std::get_if<StopServing>(&action))
        stopDatabase(stop->reason);
}

void OwnershipActor::swapRecord(const SwapRecord &action)
{
    StoreCompareAndSwap call;
    call.key = ownerKey(context_.pool);
    call.value = encodeOwnerRecord(action.record);
    call.expectedRevision = action.expectedRevision;
    call.deadline = now() + context_.ownership.storeTimeout;
    const auto id = action.id;
    request(context_.store, storeCallTimeout, call)
        .then(
            [this, id](const StoreCompareAndSwapReply &reply) {
                // A swap that was never sent can't take effect; reading the record settles it.
                const auto outcome = reply.status == SwapStatus::Swapped   ? SwapOutcome::Swapped
                                     : reply.status == SwapStatus::Unknown ? SwapOutcome::Unknown
                                                                           : SwapOutcome::Conflict;
                update(machine_.swapAnswered(id, outcome, reply.revision, now()));
            },
            [this, id](const caf::error &) {
                update(machine_.swapAnswered(id, SwapOutcome::Unknown, 0, now()));
            });
}

void OwnershipActor::readRecord()
{
    StoreRead call;
    call.key = ownerKey(context_.pool);
    call.deadline = now() + context_.ownership.storeTimeout;
    request(context_.store, storeCallTimeout, call)
        .then([this](const StoreReadReply &reply) { handleRead(reply); },
              [](const caf::error &) {});
}

void OwnershipActor::handleRead(const StoreReadReply &reply)
{
    if (!reply.ok)
        return;
    if (reply.values.empty()) {
        send(context_.manager, RecordRead{context_.pool, 0});
        update(machine_.recordSeen(std::nullopt, 0, RecordSource::StoreRead, now()));
        return;
    }
    const auto &value = reply.values.front();
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(record, decodeOwnerRecord(value.value));
            send(context_.manager, RecordRead{context_.pool, record.epoch});
            update(machine_.recordSeen(record, value.modRevision.number(), RecordSource::StoreRead,
                                       now()));
            return {};
        },
        [&](const Failure &failure) {
            spdlog::error("event=owner_record_ignored pool={} error={}", context_.pool,
                          logValue(failure.message));
        },
        [] {});
}

void OwnershipActor::askPromise(const AskPromise &action)
{
    if (action.vm == context_.vm)
        send(context_.manager, action.request);
    else
        send(context_.peers, SendPromiseRequest{action.vm, action.request});
}

void OwnershipActor::startDatabase(Epoch epoch)
{
    servedEpoch_ = epoch;
    // The former actor is still closing; handleDown() starts the next one.
    if (database_)
        return;
    if (context_.tables->findPool(context_.pool) == nullptr)
        return;
    spdlog::info("event=serving pool={} epoch={}", context_.pool, epoch);
    DatabaseContext context;
    context.vm = context_.vm;
    context.pool = context_.pool;
    context.tables = context_.tables;
    context.epoch = epoch;
    context.confirmation = confirmationOf(*machine_.record());
    if (confirmationMayChange())
        context.requestedConfirmation = proposed_;
    else
        proposed_.reset();
    context.leaseEnd = machine_.leaseEnd();
    context.ownership = this;
    context.clock = context_.clock;
    context.spawner = context_.spawner;
    context.settings = context_.database;
    reportedLease_ = context.leaseEnd;
    database_ = spawn<DatabaseActor>(std::move(context));
    monitor(database_);
    send(database_, LeavingChanged{leaving_});
}

void OwnershipActor::stopDatabase(StopReason reason)
{
    spdlog::info("event=serving_ended pool={} epoch={} reason={}", context_.pool, servedEpoch_,
                 toString(reason));
    servedEpoch_ = 0;
    if (database_)
        send(database_, LeaseEnded{});
}

void OwnershipActor::extendLease()
{
    if (!database_ || !machine_.mayServe(now()) || machine_.leaseEnd() == reportedLease_)
        return;
    reportedLease_ = machine_.leaseEnd();
    send(database_, LeaseExtended{reportedLease_});
}

void OwnershipActor::changeConfirmation(const ChangeConfirmation &message)
{
    if (proposed_)
        return;
    proposed_ = message.record;
    proposedRevision_ = 0;
    proposeConfirmation();
    scheduleTick();
}

void OwnershipActor::proposeConfirmation()
{
    const auto actions = machine_.changeConfirmation(proposed_->members, proposed_->count, now());
    if (!actions.empty())
        proposedRevision_ = machine_.revision();
    run(actions);
}

void OwnershipActor::reviewConfirmation()
{
    if (!proposed_ || !database_ || !machine_.record() || machine_.swapOutstanding())
        return;
    const auto current = confirmationOf(*machine_.record());
    // While the revision is the same, a swap without an answer may still take effect late, so the
    // same proposal is repeated until one of them has.
    if (current != *proposed_
        && (proposedRevision_ == 0 || proposedRevision_ == machine_.revision())) {
        proposeConfirmation();
        return;
    }
    ConfirmationRecorded message;
    message.requested = *proposed_;
    message.current = current;
    message.outcome = current == *proposed_ ? SwapOutcome::Swapped : SwapOutcome::Conflict;
    proposed_.reset();
    send(database_, message);
}

/// Whether the proposed set was sent against the present revision, so that it may yet take effect.
bool OwnershipActor::confirmationMayChange() const
{
    return proposed_ && proposedRevision_ != 0 && proposedRevision_ == machine_.revision();
}

void OwnershipActor::updateTables(const PoolChanged &message)
{
    const auto *before = context_.tables->findPool(context_.pool);
    const auto *after = message.tables->findPool(context_.pool);
    const bool sameGroup =
        before != nullptr && after != nullptr && before->servers == after->servers
        && before->databaseName == after->databaseName && before->user == after->user
        && before->confirmReplicas == after->confirmReplicas;
    context_.tables = message.tables;
    if (!database_ || after == nullptr)
        return;
    if (sameGroup) {
        send(database_, message);
    } else {
        restartDatabase_ = true;
        send(database_, DrainRequest{});
    }
}

void OwnershipActor::handleDown(const caf::down_msg &message)
{
    if (!database_ || message.source != database_.address())
        return;
    database_ = nullptr;
    const bool expected = servedEpoch_ == 0 || restartDatabase_ || draining_;
    if (message.reason && !expected) {
        quit(caf::exit_reason::unhandled_exception);
        return;
    }
    restartDatabase_ = false;
    update(draining_ ? machine_.drain(now()) : OwnershipActions());
}

void OwnershipActor::drain()
{
    draining_ = true;
    // The database is handed over only after its open work has ended.
    if (database_)
        send(database_, DrainRequest{});
    else
        update(machine_.drain(now()));
}

caf::result<caf::message> OwnershipActor::execute(ExecuteStatement &message)
{
    if (database_ && machine_.mayServe(now())) {
        return delegate(database_, std::move(message));
    }
    StatementReply reply;
    reply.outcome =
        Failure{ErrorCode::NotOwner, Verdict::DidNotRun, "this proxy does not own the database"};
    if (machine_.record() && machine_.record()->owner != context_.vm)
        reply.ownerHint = machine_.record()->owner;
    return caf::make_message(std::move(reply));
}

caf::result<StateDump> OwnershipActor::dump()
{
    boost::json::object state;
    state["pool"] = context_.pool;
    state["serving"] = machine_.mayServe(now());
    if (const auto &record = machine_.record()) {
        state["owner"] = record->owner;
        state["epoch"] = record->epoch;
        state["candidates"] =
            boost::json::array(record->candidates.begin(), record->candidates.end());
    }
    if (!database_)
        return StateDump{std::move(state)};
    auto promise = make_response_promise<StateDump>();
    request(database_, std::chrono::milliseconds(500), StateDumpRequest{})
        .then(
            [promise, state](StateDump &dump) mutable {
                state["database"] = std::move(dump.state);
                promise.deliver(StateDump{std::move(state)});
            },
            [promise, state](const caf::error &) mutable {
                promise.deliver(StateDump{std::move(state)});
            });
    return promise;
}

} // namespace shallotwalk
