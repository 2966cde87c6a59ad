#include "databases/databasesmanager.h"

#include "supervision/logvalue.h"
#include "wire/wire.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

namespace shallotwalk {

namespace {

using ReviewLeaving = caf::atom_constant<caf::atom("leaving")>;

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

DatabasesManager::DatabasesManager(caf::actor_config &config, DatabasesContext context)
    : caf::event_based_actor(config)
    , context_(std::move(context))
    , promises_(context_.vm, context_.clock->now(), context_.ownership.promise)
{
}

caf::behavior DatabasesManager::make_behavior()
{
    supervisor_ =
        spawn<Supervisor, caf::linked>("owned", std::vector<ChildSpecification>{}, context_.clock,
                                       context_.restarts, caf::actor(this));
    subscribe();
    return {
        [this](ExecuteStatement &message) { return execute(message); },
        [this](const TablesChanged &message) { updateTables(message.tables); },
        [this](const StoreChanged &message) { updateRecords(message); },
        [](const StoreWatchStatus &) {},
        [this](const MembersChanged &message) { updateMembers(message.members); },
        [this](const VmListChanged &message) { updateVms(message.entries); },
        [this](const ChildStarted &message) { handleStarted(message); },
        [this](const RecordRead &message) { promises_.recordRead(message.pool, message.epoch); },
        [this](const PromiseRequest &request) {
            const auto found = ownerships_.find(request.database);
            if (found != ownerships_.end() && found->second)
                send(found->second, answerPromise(request));
        },
        [this](const PromiseRequestReceived &message) {
            send(context_.peers, SendPromiseReply{message.vm, answerPromise(message.request)});
        },
        [this](const PromiseReply &reply) {
            const auto found = ownerships_.find(reply.database);
            if (found != ownerships_.end() && found->second)
                send(found->second, reply);
        },
        [this](const OwnerUpdate &message) { send(context_.dispatcher, message); },
        [this](ReviewLeaving) {
            leavingDue_ = TimePoint::max();
            updateLeaving();
        },
        [this](DrainRequest request) {
            draining_ = true;
            send(supervisor_, request);
        },
        [this](MetricsRequest) { return metrics(); },
        [this](StateDumpRequest) { return dump(); },
    };
}

void DatabasesManager::on_exit()
{
    send_exit(supervisor_, caf::exit_reason::user_shutdown);
    supervisor_ = nullptr;
    ownerships_.clear();
}

void DatabasesManager::subscribe()
{
    set_exit_handler([this](caf::exit_msg &message) {
        // The supervisor of the ownership actors ends normally at the end of a drain.
        quit(message.reason == caf::exit_reason::normal ? caf::error() : message.reason);
    });
    send(context_.configuration, SubscribeTables{this});
    send(context_.members, SubscribeMembers{this});
    send(context_.vmList, SubscribeVmList{this});
    send(context_.storeWatcher, StoreSubscribe{std::string(ownerKeyPrefix), this});
}

void DatabasesManager::updateTables(std::shared_ptr<const Tables> tables)
{
    tables_ = std::move(tables);
    pools_.clear();
    for (const auto &pool : tables_->pools)
        pools_.insert(pool.name);
    for (const auto &[pool, ownership] : ownerships_) {
        if (ownership && pools_.contains(pool))
            send(ownership, PoolChanged{tables_});
    }
    review();
}

void DatabasesManager::updateRecords(const StoreChanged &message)
{
    for (const auto &value : message.values)
        updateRecord(value);
}

void DatabasesManager::updateRecord(const KeyValue &value)
{
    const auto pool = value.key.substr(std::min(ownerKeyPrefix.size(), value.key.size()));
    if (value.value.empty())
        return;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(record, decodeOwnerRecord(value.value));
            auto &known = records_[pool];
            if (known.revision >= value.modRevision)
                return {};
            known = {record, value.modRevision.number()};
            send(context_.dispatcher, OwnerUpdate{pool, record.epoch, record.owner});
            const auto found = ownerships_.find(pool);
            if (found != ownerships_.end() && found->second)
                send(found->second, OwnerRecordNotice{record, value.modRevision.number()});
            if (!draining_ && pools_.contains(pool))
                reviewPool(pool);
            return {};
        },
        [&](const Failure &failure) {
            spdlog::error("event=owner_record_ignored key={} error={}", logValue(value.key),
                          logValue(failure.message));
        },
        [] {});
}

void DatabasesManager::updateMembers(const std::vector<Member> &members)
{
    live_.clear();
    for (const auto &member : members) {
        if (member.alive)
            live_.push_back({member.vm, member.dataCentre});
    }
    rankMembers();
}

void DatabasesManager::rankMembers()
{
    members_.clear();
    std::copy_if(live_.begin(), live_.end(), std::back_inserter(members_),
                 [this](const auto &member) { return !contains(leaving_, member.vm); });
    for (const auto &[pool, ownership] : ownerships_) {
        if (ownership)
            send(ownership, RankingChanged{ranking(pool)});
    }
    review();
}

void DatabasesManager::updateVms(const std::vector<VmEntry> &entries)
{
    leavingServers_.update(entries, now());
    updateLeaving();
}

void DatabasesManager::updateLeaving()
{
    scheduleLeaving();
    auto leaving = leavingServers_.leaving(now());
    if (leaving == leaving_)
        return;
    leaving_ = std::move(leaving);
    for (const auto &[pool, ownership] : ownerships_) {
        if (ownership)
            send(ownership, LeavingChanged{leaving_});
    }
    rankMembers();
}

void DatabasesManager::scheduleLeaving()
{
    const auto due = leavingServers_.nextDue(now());
    if (due >= leavingDue_)
        return;
    leavingDue_ = due;
    delayed_send(this, due - now(), ReviewLeaving::value);
}

void DatabasesManager::review()
{
    if (!tables_ || draining_)
        return;
    for (const auto &pool : tables_->pools)
        reviewPool(pool.name);
    std::erase_if(ownerships_, [this](const auto &entry) {
        if (pools_.contains(entry.first))
            return false;
        send(supervisor_, RemoveChild{entry.first});
        return true;
    });
}

void DatabasesManager::reviewPool(const std::string &pool)
{
    const auto found = ownerships_.find(pool);
    const bool runs = found != ownerships_.end();
    if (isCandidate(pool)) {
        if (!runs)
            startOwnership(pool);
    } else if (runs) {
        // A record without this proxy: others promise the database now.
        ownerships_.erase(found);
        send(supervisor_, RemoveChild{pool});
    }
}

bool DatabasesManager::isCandidate(std::string_view pool) const
{
    const auto found = records_.find(pool);
    if (found != records_.end()) {
        const auto &record = found->second.record;
        return record.owner == context_.vm || contains(record.candidates, context_.vm)
               || contains(record.previousCandidates, context_.vm);
    }
    // Without a record the first-ranked members create it.
    const auto best = rankCandidates(pool, members_, context_.ownership.candidateCount);
    return contains(best, context_.vm);
}

std::vector<std::string> DatabasesManager::ranking(std::string_view pool) const
{
    return rankCandidates(pool, members_, members_.size());
}

void DatabasesManager::startOwnership(const std::string &pool)
{
    ownerships_.try_emplace(pool);
    OwnershipContext context;
    context.vm = context_.vm;
    context.pool = pool;
    context.tables = tables_;
    context.manager = this;
    context.store = context_.store;
    context.peers = context_.peers;
    context.clock = context_.clock;
    context.spawner = context_.spawner;
    context.ownership = context_.ownership;
    context.database = context_.database;
    // Runs on the supervisor's thread; what changes later is sent after each start.
    const auto start = [context = std::move(context)](caf::event_based_actor *parent) {
        return parent->spawn<OwnershipActor>(context);
    };
    send(supervisor_, AddChild{{pool, start}});
}

void DatabasesManager::handleStarted(const ChildStarted &message)
{
    ownerships_[message.name] = message.child;
    send(message.child, PoolChanged{tables_});
    send(message.child, LeavingChanged{leaving_});
    send(message.child, RankingChanged{ranking(message.name)});
}

PromiseReply DatabasesManager::answerPromise(const PromiseRequest &request)
{
    const auto found = ownerships_.find(request.database);
    if (request.owner != context_.vm && found != ownerships_.end() && found->second)
        send(found->second, request);
    return promises_.answer(request, now());
}

caf::result<caf::message> DatabasesManager::execute(ExecuteStatement &message)
{
    const auto &pool = message.request.pool;
    const auto found = ownerships_.find(pool);
    if (found != ownerships_.end() && found->second)
        return delegate(found->second, std::move(message));
    StatementReply reply;
    reply.outcome =
        Failure{ErrorCode::NotOwner, Verdict::DidNotRun, "this proxy does not own the database"};
    const auto record = records_.find(pool);
    if (record != records_.end() && record->second.record.owner != context_.vm)
        reply.ownerHint = record->second.record.owner;
    return caf::make_message(std::move(reply));
}

MetricsText DatabasesManager::metrics() const
{
    const auto owned = std::count_if(records_.begin(), records_.end(), [this](const auto &entry) {
        return entry.second.record.owner == context_.vm && ownerships_.contains(entry.first);
    });
    return {metricText("shallotwalk_owned_databases", "gauge",
                       "Databases whose owner record names this proxy.",
                       static_cast<std::uint64_t>(owned))
            + metricText("shallotwalk_candidate_databases", "gauge",
                         "Databases of which this proxy is owner or candidate.", ownerships_.size())
            + metricText("shallotwalk_live_proxies", "gauge",
                         "Live proxies, this one included, as the membership knows them.",
                         members_.size())};
}

caf::result<StateDump> DatabasesManager::dump()
{
    boost::json::object state;
    state["databases"] = ownerships_.size();
    state["records"] = records_.size();
    state["members"] = members_.size();
    state["leaving"] = boost::json::array(leaving_.begin(), leaving_.end());
    auto promise = make_response_promise<StateDump>();
    request(supervisor_, std::chrono::milliseconds(800), StateDumpRequest{})
        .then(
            [promise, state](StateDump &dump) mutable {
                state["owned"] = std::move(dump.state);
                promise.deliver(StateDump{std::move(state)});
            },
            [promise, state](const caf::error &) mutable {
                promise.deliver(StateDump{std::move(state)});
            });
    return promise;
}

} // namespace shallotwalk
