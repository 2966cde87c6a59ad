#include "sessions/replicationmodel.h"

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr Duration tickInterval = 10ms;
constexpr Duration replicationInterval = 5ms;
constexpr Duration networkDelay = 2ms;
constexpr Duration openingTime = 12ms;
constexpr Duration workTime = 3ms;
constexpr Duration routeTimeout = 800ms;
constexpr Duration maxStaleness = 1500ms;
constexpr Duration writePause = 50ms;
constexpr Duration readPause = 900ms;
constexpr unsigned readsPerTransaction = 12;
constexpr Duration exchangeDelay = 50ms;
constexpr Duration storeCallTime = 5ms;
/// Time until the entry of a crashed server is removed.
constexpr Duration entryLifetime = 3600ms;
/// Longest time until a server that reaches the store again writes its entry.
constexpr Duration heartbeatInterval = 1200ms;
/// Time for which a leaving server goes on.
constexpr Duration leavingTime = 8s;

} // namespace

/// A database of the group, with the connections that all proxies have to it.
struct ReplicationModel::Server
{
    struct Connection
    {
        std::deque<ServerCommand> commands;
        bool busy = false;
        TransactionState state = TransactionState::None;
    };
    struct WaitingCommit
    {
        Proxy *proxy = nullptr;
        ServerConnectionKey key;
        std::size_t length = 0; ///< Of the log that holds the commit.
    };
    using Key = std::pair<Proxy *, ServerConnectionKey>;

    Position received() const
    {
        return {log.empty() ? 1 : log.back().term, static_cast<LogPosition>(log.size())};
    }
    bool runs() const { return !crashed && !dark; }
    bool receives() const { return runs() && !deaf && !primary && pausedUntil == 0; }

    ServerRegistration registration;
    bool registered = true;
    bool primary = false;
    bool deaf = false;
    bool crashed = false;
    bool dark = false;
    bool reachesStore = true;
    std::uint64_t silences = 0; ///< Silences towards the store that have begun or ended.
    Duration answerDelay{0};
    std::vector<std::function<void()>> onWake; ///< What was to be handled while it was dark.
    Term term = 1;
    Term pausedUntil = 0;
    std::vector<LogEntry> log;
    std::map<Key, Connection> connections;
    std::vector<WaitingCommit> waiting;
};

/// One start of a proxy, with the port of its scheduler and its clients.
class ReplicationModel::Proxy : public GroupPort
{
public:
    Proxy(ReplicationModel &model, std::size_t number, std::uint64_t randomSeed)
        : index(number)
        , model_(model)
        , scheduler(makeSettings(randomSeed), *this)
    {
        const auto &settings = model.settings_;
        scheduler.setConfirmReplicas(settings.confirmReplicas);
        scheduler.setWitness(true, number);
        scheduler.setConnections(allotConnections(settings.connectionLimit, settings.proxies),
                                 model.time_.now());
        tick();
        for (std::size_t writer = 0; writer < settings.writers; ++writer)
            write();
    }

    /// Runs \a run for this proxy after \a delay, once the proxy isn't frozen any more.
    void later(Duration delay, std::function<void()> run)
    {
        model_.time_.after(delay, [this, run = std::move(run)] {
            if (ended)
                return;
            const auto frozenFor = frozenUntil - model_.time_.now();
            if (frozenFor > Duration::zero())
                later(frozenFor, run);
            else
                run();
        });
    }

    void openConnection(ServerConnectionKey key, const ServerRegistration &registration,
                        std::string_view) override
    {
        serverOf_[key] = registration.id;
        model_.time_.after(networkDelay + openingTime, [this, key] { accept(key); });
    }
    void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) override
    {
        for (const auto &command : commands) {
            model_.time_.after(networkDelay, [this, key, command] {
                auto &target = server(key);
                const auto found = target.connections.find({this, key});
                if (found == target.connections.end())
                    return;
                found->second.commands.push_back(command);
                runNext(key);
            });
        }
    }
    void closeConnection(ServerConnectionKey key) override
    {
        closed_.insert(key);
        server(key).connections.erase({this, key});
    }
    void answer(const GroupRequest &request, GroupAnswer answer) override
    {
        if (answer.answer.error == AnswerCode::InDoubt)
            ++model_.inDoubt_;
        if (!answer.answer.error && answer.committed) {
            model_.acknowledged_.insert(request.statement.id);
            const auto position = answer.answer.position.value_or(Position{});
            model_.acknowledgements_[request.statement.id] =
                "by " + answer.server + " at " + std::to_string(position.term) + '.'
                + std::to_string(position.lsn) + " through proxy " + std::to_string(index) + " at "
                + model_.timeText();
            model_.acknowledgedAt_ = model_.time_.now();
        }
        if (const auto reader = readers_.find(request.session); reader != readers_.end())
            later(Duration(0),
                  [this, session = request.session, answer] { continueReading(session, answer); });
        else
            later(writePause, [this] { write(); });
    }
    void requestStranded(const GroupRequest &) override {}
    void requestRetried(const GroupRequest &, std::string_view, std::optional<AnswerCode>) override
    {
    }
    void connectionRefused(std::string_view, AnswerCode, Duration) override {}
    void shareWatermark(Position, TimePoint, Position acknowledged) override
    {
        if (acknowledged != Position())
            model_.shareAcknowledged(index, acknowledged);
    }
    void reportSuspicion(std::string_view suspect, bool suspected) override
    {
        if (suspected)
            model_.suspicions_[index] = suspect;
        else
            model_.suspicions_.erase(index);
        model_.shareSuspicions();
    }
    void primaryDemoted(std::string_view server, bool demoted, Position) override
    {
        model_.note(demoted ? "demoted" : "not demoted", server);
    }
    void orderPromotion(const PromotionChoice &choice) override
    {
        model_.note("proxy " + std::to_string(index) + " wants, " + choice.reason, choice.server);
        model_.writeRecord(*this, choice);
    }

    /// A connection is closed by the server.
    void lose(ServerConnectionKey key)
    {
        later(networkDelay,
              [this, key] { scheduler.connectionLost(key, "closed", model_.time_.now()); });
    }

    void read()
    {
        auto request = makeRequest(StatementKind::Read);
        request.scope = RequestScope::BeginTransaction;
        request.readOnlyTransaction = true;
        readers_[request.session] = 0;
        scheduler.submit(std::move(request), model_.time_.now());
    }

    /// Answers the command that the connection \a key is busy with.
    void finish(ServerConnectionKey key, ServerReply reply)
    {
        auto &target = server(key);
        const auto found = target.connections.find({this, key});
        if (found == target.connections.end())
            return;
        found->second.busy = false;
        this->reply(key, std::move(reply));
        runNext(key);
    }

    const std::size_t index;
    bool ended = false;
    TimePoint frozenUntil;
    StoreRevision recordRevision;
    std::uint64_t published = 0; ///< Newest list of servers that it knows.

private:
    static GroupSchedulerSettings makeSettings(std::uint64_t randomSeed)
    {
        GroupSchedulerSettings settings;
        settings.service = "bookings";
        settings.randomSeed = randomSeed;
        settings.makePolicy = [] { return std::make_unique<FairSharePolicy>(); };
        return settings;
    }

    Server &server(ServerConnectionKey key) { return model_.server(serverOf_.at(key)); }

    void tick()
    {
        later(tickInterval, [this] {
            scheduler.tick(model_.time_.now());
            tick();
        });
    }

    GroupRequest makeRequest(StatementKind kind)
    {
        const auto now = model_.time_.now();
        GroupRequest request;
        request.number = ++model_.requests_;
        request.session = request.number;
        request.statement.id = "id" + std::to_string(request.number);
        request.statement.kind = kind;
        request.statement.text = "item";
        request.readOnly = kind == StatementKind::Read;
        request.values = std::make_shared<SessionValues>();
        request.route = "route";
        request.maxStaleness = maxStaleness;
        request.startedAt = now;
        request.receivedAt = now;
        request.deadline = now + routeTimeout;
        return request;
    }

    void write()
    {
        later(Duration(0),
              [this] { scheduler.submit(makeRequest(StatementKind::Write), model_.time_.now()); });
    }

    /// Keeps the transaction of a reader open if it runs on the server that readers hold, and
    /// begins another one otherwise.
    void continueReading(SessionNumber session, const GroupAnswer &answer)
    {
        const bool stays = !answer.answer.error && answer.server == model_.heldServer_
                           && ++readers_[session] < readsPerTransaction;
        if (stays) {
            later(readPause, [this, session] {
                auto request = makeRequest(StatementKind::Read);
                request.session = session;
                request.scope = RequestScope::InTransaction;
                request.readOnlyTransaction = true;
                scheduler.submit(std::move(request), model_.time_.now());
            });
            return;
        }
        readers_.erase(session);
        scheduler.endTransaction(session, model_.time_.now());
        if (!model_.heldServer_.empty())
            later(writePause, [this] { read(); });
    }

    void accept(ServerConnectionKey key)
    {
        auto &target = server(key);
        if (target.crashed) {
            lose(key);
            return;
        }
        if (target.dark) {
            model_.whenAwake(target, [this, key] { accept(key); });
            return;
        }
        if (ended || closed_.contains(key))
            return;
        ServerReply opening;
        if (target.connections.size() >= model_.settings_.connectionLimit)
            opening.error = AnswerCode::TooManyClients;
        else
            target.connections[{this, key}];
        reply(key, opening);
    }

    void reply(ServerConnectionKey key, ServerReply reply)
    {
        auto &target = server(key);
        const auto found = target.connections.find({this, key});
        if (found != target.connections.end())
            reply.state = found->second.state;
        reply.position = target.received();
        // Replies of one connection stay in order, whatever the delay.
        const auto now = model_.time_.now();
        auto &arrival = arrivals_[key];
        arrival = std::max(arrival, now + networkDelay + target.answerDelay);
        later(arrival - now,
              [this, key, reply] { scheduler.replied(key, reply, model_.time_.now()); });
    }

    void runNext(ServerConnectionKey key)
    {
        auto &target = server(key);
        const auto found = target.connections.find({this, key});
        if (found == target.connections.end() || found->second.busy
            || found->second.commands.empty())
            return;
        found->second.busy = true;
        const auto command = found->second.commands.front();
        found->second.commands.pop_front();
        model_.time_.after(workTime, [this, key, command] {
            model_.whenAwake(server(key), [this, key, command] {
                const auto run = server(key).connections.find({this, key});
                if (run != server(key).connections.end())
                    execute(key, run->second, command);
            });
        });
    }

    void execute(ServerConnectionKey key, Server::Connection &connection,
                 const ServerCommand &command)
    {
        auto &target = server(key);
        ServerReply answer;
        switch (command.kind) {
        case CommandKind::Begin:
            if (!target.primary)
                answer.error = AnswerCode::ReadOnly;
            else
                connection.state = TransactionState::Open;
            break;
        case CommandKind::BeginReadOnly:
            if (command.after && *command.after > target.received())
                answer.error = AnswerCode::Lagging;
            else
                connection.state = TransactionState::Open;
            break;
        case CommandKind::Rollback:
            connection.state = TransactionState::None;
            break;
        case CommandKind::Pause:
            if (!target.primary && command.term > model_.term_)
                target.pausedUntil = command.term;
            break;
        case CommandKind::Resume:
            target.pausedUntil = 0;
            break;
        case CommandKind::Write:
            if (!target.primary) {
                answer.error = AnswerCode::ReadOnly;
                break;
            }
            target.log.push_back({target.term, command.id});
            target.waiting.push_back({this, key, target.log.size()});
            return;
        case CommandKind::Demote:
            if (model_.settings_.obeysDemote)
                model_.demote(target, command.term);
            break;
        case CommandKind::Status:
            break;
        default:
            answer.signature = "signature";
            answer.rows = {"row"};
            break;
        }
        if (command.kind == CommandKind::Status || command.kind == CommandKind::Pause
            || command.kind == CommandKind::Resume || command.kind == CommandKind::Demote)
            answer.report =
                ServerReport{target.primary, target.term, target.received(), target.pausedUntil};
        finish(key, std::move(answer));
    }

    ReplicationModel &model_;
    std::map<ServerConnectionKey, std::string> serverOf_;
    std::set<ServerConnectionKey> closed_;
    std::map<ServerConnectionKey, TimePoint> arrivals_; ///< Of the last reply on each connection.
    std::map<SessionNumber, unsigned> readers_; ///< Statements of each reader's transaction.

public:
    GroupScheduler scheduler; ///< Declared last, since it calls this port.
};

ReplicationModel::ReplicationModel(ReplicationModelSettings settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{
    for (std::size_t index = 0; index < settings_.servers; ++index)
        addServer();
    servers_.front()->primary = true;
    servers_.front()->registration.primary = true;
    leader_ = servers_.front()->registration.id;
    for (std::size_t index = 0; index < settings_.proxies; ++index)
        proxies_.push_back(std::make_unique<Proxy>(*this, index, index));
    pump();
    publish();
}

ReplicationModel::~ReplicationModel() = default;

void ReplicationModel::run(Duration duration)
{
    time_.runUntil(time_.now() + duration);
}

Duration ReplicationModel::between(Duration low, Duration high)
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(random_));
}

void ReplicationModel::afterStore(Duration delay, std::function<void()> run)
{
    const auto wait = std::max<Duration>(storeBackAt_ - time_.now(), Duration::zero());
    time_.after(wait + delay, std::move(run));
}

std::string ReplicationModel::timeText() const
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - TimePoint(1000s));
    return std::to_string(at.count()) + " ms";
}

void ReplicationModel::note(std::string_view event, std::string_view subject)
{
    events_ += timeText() + ": " + std::string(event) + ": " + std::string(subject) + '\n';
}

ReplicationModel::Server &ReplicationModel::server(const std::string &id) const
{
    return **std::find_if(servers_.begin(), servers_.end(),
                          [&](const auto &entry) { return entry->registration.id == id; });
}

/// The running primary, or null.
ReplicationModel::Server *ReplicationModel::leader() const
{
    auto &last = server(leader_);
    return last.primary && !last.crashed ? &last : nullptr;
}

ReplicationModel::Server &ReplicationModel::addServer()
{
    auto added = std::make_unique<Server>();
    auto &registration = added->registration;
    registration.id = "db-" + std::to_string(servers_.size() + 1);
    registration.service = "bookings";
    registration.host = "10.0.0." + std::to_string(servers_.size() + 1);
    registration.port = 5000;
    registration.slots = 2;
    registration.startedAt = 1;
    added->term = term_;
    servers_.push_back(std::move(added));
    return *servers_.back();
}

/// Passes the log of the primary on, and answers the commits that enough replicas hold.
void ReplicationModel::pump()
{
    time_.after(replicationInterval, [this] { pump(); });
    auto *primary = leader();
    if (primary == nullptr || primary->dark)
        return;
    for (const auto &replica : servers_) {
        if (!replica->receives())
            continue;
        // The log of a replica is the beginning of the primary's, see lead().
        if (replica->log.size() < primary->log.size()) {
            replica->log.insert(replica->log.end(), primary->log.begin() + replica->received().lsn,
                                primary->log.end());
        }
        replica->term = primary->term;
    }
    auto waiting = std::exchange(primary->waiting, {});
    for (const auto &commit : waiting) {
        const auto holders =
            std::count_if(servers_.begin(), servers_.end(), [&](const auto &replica) {
                return !replica->primary && !replica->crashed
                       && replica->log.size() >= commit.length
                       && replica->log[commit.length - 1] == primary->log[commit.length - 1];
            });
        if (holders < settings_.confirmReplicas) {
            primary->waiting.push_back(commit);
            continue;
        }
        ServerReply reply;
        reply.signature = "signature";
        commit.proxy->finish(commit.key, std::move(reply));
    }
}

/// Gives all proxies the new list of servers.
void ReplicationModel::publish()
{
    std::vector<ServerRegistration> list;
    for (const auto &entry : servers_) {
        if (entry->registered)
            list.push_back(entry->registration);
    }
    const auto number = ++published_;
    for (std::size_t index = 0; index < proxies_.size(); ++index) {
        afterStore(between(5ms, 40ms), [this, index, list, number] {
            auto &proxy = *proxies_[index];
            proxy.later(Duration(0), [this, &proxy, list, number] {
                if (proxy.published >= number)
                    return;
                proxy.published = number;
                proxy.scheduler.setServers(list, time_.now());
            });
        });
    }
}

/// Passes on an acknowledged commit that \a sender knows of. The positions of the primary aren't
/// passed on: each proxy asks for them itself.
void ReplicationModel::shareAcknowledged(std::size_t sender, Position acknowledged)
{
    for (const auto &entry : proxies_) {
        auto &proxy = *entry;
        if (proxy.index == sender)
            continue;
        proxy.later(exchangeDelay,
                    [&proxy, acknowledged] { proxy.scheduler.acknowledgedHeard(acknowledged); });
    }
}

void ReplicationModel::shareSuspicions()
{
    afterStore(between(5ms, 30ms), [this] {
        for (const auto &entry : proxies_) {
            auto &proxy = *entry;
            proxy.later(Duration(0), [this, &proxy] {
                std::vector<std::string> others;
                for (const auto &[index, suspect] : suspicions_) {
                    if (index != proxy.index)
                        others.push_back(suspect);
                }
                proxy.scheduler.setSuspicions(others, proxies_.size(), time_.now());
            });
        }
    });
}

/// Records the choice of a proxy, if its record is still the newest one, and tells all proxies.
void ReplicationModel::writeRecord(Proxy &proxy, const PromotionChoice &choice)
{
    const auto known = proxy.recordRevision;
    afterStore(storeCallTime, [this, &proxy, choice, known] {
        if (record_.revision != known) {
            proxy.later(networkDelay, [this, &proxy, choice] {
                proxy.scheduler.promotionFailed(choice.server, time_.now());
            });
            return;
        }
        record_ = {choice.service,
                   choice.server,
                   std::to_string(proxy.index),
                   "",
                   choice.position,
                   record_.revision.next(),
                   choice.endedTerm,
                   0,
                   choice.floor};
        tellRecord();
        proxy.later(storeCallTime, [this, &proxy, record = record_] { order(proxy, record); });
    });
}

/// Records that the order of \a record won't be given, and tells all proxies.
void ReplicationModel::withdraw(Proxy &proxy, const PromotionRecord &record)
{
    afterStore(storeCallTime, [this, &proxy, record] {
        if (record_.revision == record.revision) {
            record_.server.clear();
            record_.revision = record_.revision.next();
            tellRecord();
        }
        proxy.later(networkDelay, [this, &proxy, record] {
            proxy.scheduler.promotionFailed(record.server, time_.now());
        });
    });
}

/// The watch of each proxy reports the record.
void ReplicationModel::tellRecord()
{
    for (const auto &entry : proxies_) {
        auto &informed = *entry;
        informed.later(between(5ms, 40ms), [this, &informed, record = record_] {
            informed.recordRevision = std::max(informed.recordRevision, record.revision);
            informed.scheduler.promotionSeen(record, time_.now());
        });
    }
}

void ReplicationModel::order(Proxy &proxy, const PromotionRecord &record)
{
    const auto wait = proxy.scheduler.confirmationDelay(time_.now());
    if (wait > Duration::zero())
        proxy.later(wait, [this, &proxy, record] { confirmOrder(proxy, record); });
    else
        confirmOrder(proxy, record);
}

void ReplicationModel::confirmOrder(Proxy &proxy, const PromotionRecord &record)
{
    auto &chosen = server(record.server);
    if (!proxy.scheduler.confirmsPromotion(record.server, time_.now())) {
        note("proxy " + std::to_string(proxy.index) + " withdraws", record.server);
        withdraw(proxy, record);
        return;
    }
    const auto token = record.revision.fencingToken();
    if (token < highestToken_ || !chosen.runs()) {
        withdraw(proxy, record);
        return;
    }
    highestToken_ = token;
    if (!chosen.primary) {
        time_.after(settings_.promotionTime, [this, &chosen, token] { lead(chosen, token); });
    }
}

void ReplicationModel::lead(Server &chosen, std::int64_t token)
{
    if (token < highestToken_ || !chosen.runs())
        return;
    for (const auto &statement : missingFrom(chosen))
        lostAtPromotions_.insert(statement);
    ++term_;
    leader_ = chosen.registration.id;
    promoted_.push_back(leader_);
    promotedLog_ = chosen.log;
    note("leads", leader_);
    for (const auto &member : servers_) {
        if (!member->runs())
            continue;
        endWaitingCommits(*member);
        member->primary = member.get() == &chosen;
        member->registration.primary = member->primary;
        // A replica that receives nothing only learns what is rolled back.
        if (member->deaf && member.get() != &chosen)
            rollBack(*member);
        else
            member->log = chosen.log;
        member->term = term_;
        member->pausedUntil = 0;
    }
    publish();
}

/// Makes a primary a replica. Whether its unanswered commits are kept is unknown, so their
/// connections are closed.
void ReplicationModel::demote(Server &primary, Term term)
{
    if (!primary.primary || term <= primary.term)
        return;
    primary.primary = false;
    primary.registration.primary = false;
    note("is demoted", primary.registration.id);
    endWaitingCommits(primary);
    publish();
}

void ReplicationModel::endWaitingCommits(Server &primary)
{
    for (const auto &commit : std::exchange(primary.waiting, {})) {
        primary.connections.erase({commit.proxy, commit.key});
        commit.proxy->lose(commit.key);
    }
}

std::string ReplicationModel::join()
{
    auto &added = addServer();
    if (const auto *primary = leader())
        added.log = primary->log;
    note("joins", added.registration.id);
    publish();
    return added.registration.id;
}

void ReplicationModel::leave(const std::string &id)
{
    auto &leaving = server(id);
    leaving.registration.leaving = true;
    note("is leaving", id);
    publish();
    time_.after(leavingTime, [this, id] {
        if (server(id).crashed || !server(id).registration.leaving)
            return;
        crash(id);
        server(id).registered = false;
        publish();
    });
}

void ReplicationModel::crash(const std::string &id)
{
    auto &crashed = server(id);
    note("ends", id);
    crashed.crashed = true;
    crashed.waiting.clear();
    for (const auto &[key, connection] : std::exchange(crashed.connections, {}))
        key.first->lose(key.second);
    time_.after(entryLifetime, [this, &crashed, start = crashed.registration.startedAt] {
        if (!crashed.crashed || crashed.registration.startedAt != start)
            return;
        crashed.registered = false;
        publish();
    });
}

void ReplicationModel::restart(const std::string &id)
{
    auto &restarted = server(id);
    note("is back", id);
    restarted.crashed = false;
    restarted.dark = false;
    restarted.onWake.clear();
    ++restarted.silences;
    restarted.registered = true;
    restarted.pausedUntil = 0;
    ++restarted.registration.startedAt;
    restarted.registration.leaving = false;
    restarted.primary = id == leader_;
    restarted.registration.primary = restarted.primary;
    if (const auto *primary = leader()) {
        restarted.log = primary->log;
        restarted.term = primary->term;
    }
    publish();
}

void ReplicationModel::whenAwake(Server &target, std::function<void()> run)
{
    if (target.dark)
        target.onWake.push_back(std::move(run));
    else
        run();
}

/// Removes the entry of a server that has been silent towards the store for long enough.
void ReplicationModel::removeEntry(Server &silent)
{
    time_.after(entryLifetime, [this, &silent, silence = ++silent.silences] {
        if (silent.silences != silence || (silent.runs() && silent.reachesStore))
            return;
        note("entry is removed", silent.registration.id);
        silent.registered = false;
        publish();
    });
}

/// Writes the entry of a server again with one of its next heartbeats.
void ReplicationModel::registerAgain(Server &returned)
{
    ++returned.silences;
    time_.after(between(0ms, heartbeatInterval), [this, &returned, silence = returned.silences] {
        if (returned.silences != silence || !returned.runs() || !returned.reachesStore)
            return;
        returned.registered = true;
        publish();
    });
}

/// A server that has missed a promotion becomes a replica and drops what the promotion has rolled
/// back.
void ReplicationModel::rollBack(Server &returned) const
{
    if (returned.term >= term_)
        return;
    const auto &kept = promotedLog_;
    auto &log = returned.log;
    const auto common = std::mismatch(log.begin(), log.end(), kept.begin(), kept.end());
    log.erase(common.first, log.end());
    returned.term = term_;
    returned.primary = returned.registration.primary = false;
    returned.pausedUntil = 0;
}

void ReplicationModel::darken(const std::string &id, Duration duration)
{
    note("is dark", id);
    auto &dark = server(id);
    dark.dark = true;
    removeEntry(dark);
    time_.after(duration, [this, &dark] {
        note("answers again", dark.registration.id);
        dark.dark = false;
        if (dark.crashed)
            return;
        if (dark.term < term_)
            endWaitingCommits(dark);
        rollBack(dark);
        for (const auto &run : std::exchange(dark.onWake, {}))
            run();
        registerAgain(dark);
        publish();
    });
}

void ReplicationModel::cutFromStore(const std::string &id, Duration duration)
{
    note("is cut from the store", id);
    auto &cut = server(id);
    cut.reachesStore = false;
    removeEntry(cut);
    time_.after(duration, [this, &cut] {
        note("reaches the store again", cut.registration.id);
        cut.reachesStore = true;
        if (!cut.crashed)
            registerAgain(cut);
    });
}

void ReplicationModel::delayAnswers(const std::string &id, Duration delay, Duration duration)
{
    note("answers late", id);
    server(id).answerDelay = delay;
    time_.after(duration, [this, id] { server(id).answerDelay = Duration(0); });
}

void ReplicationModel::setDeaf(const std::string &id, bool deaf)
{
    note(deaf ? "receives nothing" : "receives again", id);
    server(id).deaf = deaf;
}

void ReplicationModel::holdTransactions(const std::string &id)
{
    note("held by transactions", id);
    heldServer_ = id;
    if (id.empty())
        return;
    for (const auto &proxy : proxies_) {
        for (std::size_t reader = 0; reader < settings_.connectionLimit / 2; ++reader)
            proxy->read();
    }
}

void ReplicationModel::freezeProxy(std::size_t proxy, Duration duration)
{
    note("proxy is frozen", std::to_string(proxy));
    proxies_[proxy]->frozenUntil = time_.now() + duration;
}

void ReplicationModel::restartProxy(std::size_t proxy)
{
    note("proxy restarts", std::to_string(proxy));
    auto &old = *proxies_[proxy];
    old.ended = true;
    for (const auto &member : servers_) {
        std::erase_if(member->connections,
                      [&](const auto &entry) { return entry.first.first == &old; });
        std::erase_if(member->waiting, [&](const auto &commit) { return commit.proxy == &old; });
    }
    suspicions_.erase(proxy);
    endedProxies_.push_back(std::exchange(
        proxies_[proxy],
        std::make_unique<Proxy>(*this, proxy, settings_.proxies + endedProxies_.size())));
    proxies_[proxy]->recordRevision = record_.revision;
    if (record_.revision > 0)
        proxies_[proxy]->scheduler.promotionSeen(record_, time_.now());
    publish();
    shareSuspicions();
}

void ReplicationModel::restartAllProxies()
{
    for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy)
        restartProxy(proxy);
}

void ReplicationModel::takeStoreAway(Duration duration)
{
    note("the store is away", std::to_string(duration.count() / 1000) + " ms");
    storeBackAt_ = time_.now() + duration;
}

std::string ReplicationModel::trace() const
{
    std::string text = events_;
    const auto missing = lostStatements();
    for (const auto &statement : std::span(missing).first(std::min<std::size_t>(missing.size(), 3)))
        text += "lost: " + statement + ' ' + acknowledgements_.at(statement) + '\n';
    for (const auto &proxy : proxies_) {
        const auto &scheduler = proxy->scheduler;
        text += "proxy " + std::to_string(proxy->index) + ": " + scheduler.suspicion() + ", pauses "
                + std::to_string(scheduler.pauseTerm());
        for (const auto &id : scheduler.blockedBy())
            text += ", blocked by " + id;
        text += '\n';
        for (const auto &[number, link] : scheduler.servers()) {
            const auto reportAge = std::chrono::duration_cast<std::chrono::milliseconds>(
                time_.now() - link.reportedAt);
            text += "  " + link.registration.id + (link.primary ? " primary" : "")
                    + (link.registered ? "" : " without entry") + (link.demoted ? " demoted" : "")
                    + " term " + std::to_string(link.term) + " received "
                    + std::to_string(link.received.term) + '.' + std::to_string(link.received.lsn)
                    + " paused " + std::to_string(link.pausedUntilTerm) + " reported before "
                    + std::to_string(reportAge.count()) + " ms, connections "
                    + std::to_string(link.connections.size()) + '\n';
        }
    }
    return text;
}

std::string ReplicationModel::primary() const
{
    return leader() == nullptr ? "" : leader_;
}

std::vector<std::string> ReplicationModel::replicas() const
{
    std::vector<std::string> ids;
    for (const auto &member : servers_) {
        if (!member->crashed && !member->primary)
            ids.push_back(member->registration.id);
    }
    return ids;
}

bool ReplicationModel::running(const std::string &id) const
{
    return !server(id).crashed;
}

/// The acknowledged commits that the log of \a holder lacks.
std::vector<std::string> ReplicationModel::missingFrom(const Server &holder) const
{
    std::set<std::string> kept;
    for (const auto &entry : holder.log)
        kept.insert(entry.statement);
    std::vector<std::string> missing;
    std::copy_if(acknowledged_.begin(), acknowledged_.end(), std::back_inserter(missing),
                 [&](const auto &statement) { return !kept.contains(statement); });
    return missing;
}

std::vector<std::string> ReplicationModel::lostStatements() const
{
    auto lost = lostAtPromotions_;
    const auto missing = missingFrom(server(leader_));
    lost.insert(missing.begin(), missing.end());
    return {lost.begin(), lost.end()};
}

} // namespace shallotwalk
