#include "configuration/configurationactor.h"

#include "supervision/messages.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

/// Sent by the actor to itself at the tick interval.
struct ConfigurationTick
{
};

/// Time within which a call to the store must be sent.
constexpr Duration sendLimit = std::chrono::seconds(2);
/// Longest wait for the store client, which bounds the call itself.
constexpr auto replyLimit = std::chrono::seconds(4);
/// Ticks after which an unfinished load is given up.
constexpr unsigned maxLoadTicks = 4;
/// With one repetition, parts and head together stay within the 15 s of an operator's request.
constexpr unsigned partAttempts = 2;

std::string headKey()
{
    return std::string(tablesPrefix) + "head";
}

std::string partKey(std::string_view hash)
{
    return std::string(tablesPrefix) + "parts/" + std::string(hash);
}

/// An edit id that no other proxy and no earlier run has used.
std::string makeEditId(const std::string &vm)
{
    std::random_device random;
    std::string id = vm;
    for (int i = 0; i < 4; ++i)
        id += "-" + std::to_string(random());
    return id;
}

template<class T>
std::optional<T> valueOf(Result<T> result)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<T>> {
            BOOST_LEAF_AUTO(value, std::move(result));
            return std::optional<T>(std::move(value));
        },
        [] { return std::optional<T>(); });
}

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConfigurationTick)

namespace shallotwalk {

ConfigurationActor::ConfigurationActor(caf::actor_config &config, ConfigurationSettings settings,
                                       std::shared_ptr<const Clock> clock,
                                       std::shared_ptr<Subscribers> subscribers)
    : caf::event_based_actor(config)
    , settings_(std::move(settings))
    , clock_(std::move(clock))
    , subscribers_(std::move(subscribers))
    , machine_({})
{
    setKnownProxies(settings_.knownProxies);
    set_down_handler(
        [this](const caf::down_msg &message) { subscribers_->remove(message.source); });
}

caf::behavior ConfigurationActor::make_behavior()
{
    if (settings_.storeWatcher)
        send(settings_.storeWatcher, StoreSubscribe{headKey(), caf::actor_cast<caf::actor>(this)});
    for (const auto &subscriber : *subscribers_)
        monitor(subscriber);
    send(this, ConfigurationTick{});
    return messageHandlers();
}

caf::behavior ConfigurationActor::messageHandlers()
{
    return {
        [this](const SubscribeTables &message) { subscribe(message.subscriber); },
        [this](CurrentTablesRequest) { return TablesChanged{machine_.tables()}; },
        [this](ApplyTables &message) { return apply(message); },
        [this](const StoreChanged &message) { handleStoreChange(message); },
        [](const StoreWatchStatus &) {},
        [this](const PeerHeadRequest &message) {
            if (settings_.peers)
                send(settings_.peers, PeerHead{message.vm, machine_.isReady(), machine_.head()});
        },
        [this](const PeerHead &message) { handlePeerHead(message); },
        [this](const PeerPartRequest &message) {
            const auto found = parts_.find(message.hash);
            const bool known = found != parts_.end();
            if (settings_.peers)
                send(settings_.peers, PeerPart{message.vm, message.hash, known,
                                               known ? found->second : std::string()});
        },
        [this](PeerPart &message) {
            handlePart(message.hash, message.found, std::move(message.content));
        },
        [this](const SetKnownProxies &message) { setKnownProxies(message.vms); },
        [this](ConfigurationTick) { tick(); },
        [this](StateDumpRequest) { return StateDump{state()}; },
        [this](DrainRequest) { quit(); },
    };
}

caf::result<ApplyOutcome> ConfigurationActor::apply(ApplyTables &message)
{
    auto parts = valueOf(splitTables(message.tables));
    if (!parts) {
        ApplyOutcome outcome;
        outcome.status = ApplyStatus::Invalid;
        outcome.problems.push_back({"", "a row is too long"});
        return outcome;
    }
    TablesProposal proposal;
    proposal.id = ++lastProposal_;
    proposal.expected = message.expected;
    proposal.tables = std::make_shared<Tables>(std::move(message.tables));
    proposal.editId = makeEditId(settings_.vm);
    for (const auto &part : *parts)
        proposal.parts.push_back(part.hash);
    auto promise = make_response_promise<ApplyOutcome>();
    Change change;
    change.promise = promise;
    change.parts = std::move(*parts);
    changes_.emplace(proposal.id, std::move(change));
    run(machine_.propose(std::move(proposal)));
    return promise;
}

void ConfigurationActor::subscribe(const caf::actor &subscriber)
{
    if (subscribers_->add(subscriber))
        monitor(subscriber);
    if (machine_.isReady())
        send(subscriber, TablesChanged{machine_.tables()});
}

void ConfigurationActor::handleStoreChange(const StoreChanged &message)
{
    for (const auto &value : message.values) {
        if (value.key != headKey() || value.modRevision == 0)
            continue;
        const auto head = valueOf(decodeHead(value.value));
        if (head)
            run(machine_.headSeen(*head, {}));
        else
            spdlog::error("event=tables_head_invalid source=store");
    }
}

void ConfigurationActor::handlePeerHead(const PeerHead &message)
{
    if (message.ready)
        run(machine_.peerAnswered(message.vm, message.head));
}

void ConfigurationActor::handlePart(const std::string &hash, bool found, std::string content)
{
    if (!load_
        || std::find(load_->head.parts.begin(), load_->head.parts.end(), hash)
               == load_->head.parts.end())
        return;
    if (!found || partHash(content) != hash) {
        failLoad();
        return;
    }
    parts_.insert_or_assign(hash, std::move(content));
    finishLoad();
}

void ConfigurationActor::setKnownProxies(const std::vector<std::string> &vms)
{
    peerVms_ = {vms.begin(), vms.end()};
    peerVms_.erase(settings_.vm);
    machine_.setPeers(peerVms_);
}

void ConfigurationActor::tick()
{
    if (load_ && ++load_->ticks >= maxLoadTicks)
        failLoad();
    if (!machine_.isReady() && settings_.peers) {
        for (const auto &vm : peerVms_)
            send(settings_.peers, PeerHeadRequest{vm});
    }
    run(machine_.tick());
    delayed_send(this, settings_.tickInterval, ConfigurationTick{});
}

void ConfigurationActor::run(ConfigurationActions actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &one) { execute(one); }, action);
}

void ConfigurationActor::execute(const FetchParts &action)
{
    load_ = Load{action.head, action.peer};
    const auto load = *load_;
    for (const auto &hash : load.head.parts) {
        if (!parts_.contains(hash))
            fetchPart(load, hash);
    }
    finishLoad();
}

void ConfigurationActor::execute(const WriteParts &action)
{
    auto &change = changes_.at(action.proposal);
    change.unwritten = change.parts.size();
    if (change.parts.empty())
        run(machine_.partsWritten(true));
    for (const auto &part : change.parts)
        writePart(action.proposal, part, partAttempts);
}

void ConfigurationActor::writePart(std::uint64_t proposal, const TablesPart &part,
                                   unsigned attempts)
{
    const auto answered = [this, proposal, part, attempts](SwapStatus status) {
        // The key names the content, so a write whose result is unknown may be repeated.
        if (status == SwapStatus::Unknown && attempts > 1)
            writePart(proposal, part, attempts - 1);
        else // A conflict means that the part is already there.
            partWritten(proposal, status == SwapStatus::Swapped || status == SwapStatus::Conflict);
    };
    request(settings_.storeClient, replyLimit,
            StoreCompareAndSwap{partKey(part.hash), part.content, 0, callDeadline()})
        .then([answered](const StoreCompareAndSwapReply &reply) { answered(reply.status); },
              [answered](const caf::error &) { answered(SwapStatus::Unknown); });
}

void ConfigurationActor::execute(const SwapHead &action)
{
    request(settings_.storeClient, replyLimit,
            StoreCompareAndSwap{headKey(), encodeHead(action.head), action.expectedRevision,
                                callDeadline()})
        .then(
            [this](const StoreCompareAndSwapReply &reply) {
                auto result = HeadSwap::Unknown;
                if (reply.status == SwapStatus::Swapped)
                    result = HeadSwap::Swapped;
                else if (reply.status == SwapStatus::Conflict)
                    result = HeadSwap::Conflict;
                run(machine_.swapAnswered(result));
            },
            [this](const caf::error &) { run(machine_.swapAnswered(HeadSwap::Unknown)); });
}

void ConfigurationActor::execute(const ReadHead &)
{
    request(settings_.storeClient, replyLimit, StoreRead{headKey(), false, callDeadline()})
        .then([this](const StoreReadReply &reply) { headRead(reply); },
              [this](const caf::error &) { run(machine_.headReadFailed()); });
}

void ConfigurationActor::execute(const PublishTables &action)
{
    keepParts();
    spdlog::info("event=tables_in_force version={}", action.tables->version);
    for (const auto &subscriber : *subscribers_)
        send(subscriber, TablesChanged{action.tables});
}

/// Keeps the contents of the parts in force and of those being loaded, for peers and later
/// versions.
void ConfigurationActor::keepParts()
{
    std::map<std::string, std::string, std::less<>> kept;
    const auto keep = [&](const std::vector<std::string> &hashes) {
        for (const auto &hash : hashes) {
            const auto found = parts_.find(hash);
            if (found != parts_.end() && !kept.contains(hash))
                kept.emplace(hash, std::move(found->second));
        }
    };
    for (const auto &[id, change] : changes_) {
        for (const auto &part : change.parts)
            parts_.try_emplace(part.hash, part.content);
    }
    keep(machine_.head().parts);
    if (load_)
        keep(load_->head.parts);
    parts_ = std::move(kept);
}

void ConfigurationActor::execute(const AnswerProposal &action)
{
    const auto found = changes_.find(action.proposal);
    if (found == changes_.end())
        return;
    ApplyOutcome outcome;
    outcome.status = static_cast<ApplyStatus>(action.status);
    outcome.version = action.version;
    outcome.problems = action.problems;
    if (action.status == ProposalStatus::Conflict)
        outcome.current = machine_.tables();
    found->second.promise.deliver(std::move(outcome));
    changes_.erase(found);
}

void ConfigurationActor::fetchPart(const Load &load, const std::string &hash)
{
    if (!load.peer.empty()) {
        if (settings_.peers)
            send(settings_.peers, PeerPartRequest{load.peer, hash});
        return;
    }
    request(settings_.storeClient, replyLimit, StoreRead{partKey(hash), false, callDeadline()})
        .then(
            [this, hash](StoreReadReply &reply) {
                const bool found = reply.ok && !reply.values.empty();
                handlePart(hash, found, found ? std::move(reply.values.front().value) : "");
            },
            [this, hash](const caf::error &) { handlePart(hash, false, {}); });
}

void ConfigurationActor::finishLoad()
{
    std::vector<TablesPart> parts;
    for (const auto &hash : load_->head.parts) {
        const auto found = parts_.find(hash);
        if (found == parts_.end())
            return;
        parts.push_back({hash, found->second});
    }
    auto tables = valueOf(assembly_.assemble(load_->head, parts));
    if (!tables) {
        spdlog::error("event=tables_invalid version={}", load_->head.version);
        failLoad();
        return;
    }
    const auto head = load_->head;
    load_.reset();
    run(machine_.partsLoaded(head, std::make_shared<const Tables>(std::move(*tables))));
}

void ConfigurationActor::failLoad()
{
    const auto head = load_->head;
    load_.reset();
    run(machine_.partsLoaded(head, nullptr));
}

void ConfigurationActor::partWritten(std::uint64_t proposal, bool success)
{
    const auto found = changes_.find(proposal);
    if (found == changes_.end())
        return;
    auto &change = found->second;
    change.failed = change.failed || !success;
    if (--change.unwritten == 0)
        run(machine_.partsWritten(!change.failed));
}

void ConfigurationActor::headRead(const StoreReadReply &reply)
{
    if (!reply.ok) {
        run(machine_.headReadFailed());
        return;
    }
    if (reply.values.empty()) {
        run(machine_.headRead(std::nullopt, 0));
        return;
    }
    const auto &value = reply.values.front();
    const auto head = valueOf(decodeHead(value.value));
    run(head ? machine_.headRead(head, value.modRevision.number()) : machine_.headReadFailed());
}

TimePoint ConfigurationActor::callDeadline() const
{
    return clock_->now() + sendLimit;
}

void ConfigurationActor::on_exit()
{
    subscribers_.reset();
    changes_.clear();
    settings_ = {};
}

boost::json::value ConfigurationActor::state() const
{
    return boost::json::object{
        {"version", machine_.head().version}, {"editId", machine_.head().editId},
        {"ready", machine_.isReady()},        {"knownPeers", peerVms_.size()},
        {"openChanges", changes_.size()},     {"loading", load_ ? load_->head.version : 0}};
}

} // namespace shallotwalk
