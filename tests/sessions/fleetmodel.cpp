#include "sessions/fleetmodel.h"

#include <cmath>

namespace shallotwalk {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr Duration inTimeLimit = std::chrono::milliseconds(300);
constexpr Duration lateRefusal = std::chrono::milliseconds(75);
constexpr Duration routeTimeout = std::chrono::milliseconds(800);
constexpr Duration maxStaleness = std::chrono::milliseconds(1500);

bool takesSlot(CommandKind kind)
{
    return kind == CommandKind::Read || kind == CommandKind::Write || kind == CommandKind::Commit
           || kind == CommandKind::Execute || kind == CommandKind::Status;
}

bool isProbe(const ServerCommand &command)
{
    return command.id.empty();
}

} // namespace

void SimulatedTime::after(Duration delay, std::function<void()> run)
{
    queue_.push({now_ + delay, ++events_, std::move(run)});
}

void SimulatedTime::runUntil(TimePoint end)
{
    while (!queue_.empty() && queue_.top().at <= end) {
        auto event = queue_.top();
        queue_.pop();
        now_ = event.at;
        event.run();
    }
    now_ = end;
}

/// A backend server with a limited number of connections and slots.
struct FleetModel::Server
{
    struct Connection
    {
        std::deque<ServerCommand> commands;
        bool busy = false;
        TransactionState state = TransactionState::None;
    };
    using Key = std::pair<std::size_t, ServerConnectionKey>; ///< Proxy and its connection.

    ServerRegistration registration;
    std::map<Key, Connection> connections;
    std::size_t mostConnections = 0;
    std::size_t busySlots = 0;
    std::deque<std::pair<Duration, std::function<void()>>> waiting; ///< For a slot.
    std::uint64_t statements = 0;
};

/// A proxy, with the port of its scheduler.
class FleetModel::Proxy : public GroupPort
{
public:
    Proxy(FleetModel &model, std::size_t index)
        : model_(model)
        , index_(index)
        , scheduler(makeSettings(index), *this)
    {
    }

    static GroupSchedulerSettings makeSettings(std::size_t index)
    {
        GroupSchedulerSettings settings;
        settings.service = "bookings";
        settings.randomSeed = 1000 + index;
        settings.makePolicy = [] { return std::make_unique<FairSharePolicy>(); };
        return settings;
    }

    void openConnection(ServerConnectionKey key, const ServerRegistration &registration,
                        std::string_view) override
    {
        const auto server = serverIndex(registration);
        serverOf_[key] = server;
        ++model_.openings_;
        model_.time_.after(2 * model_.delay(index_, server), [=, this] { accept(key, server); });
    }
    void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) override
    {
        const auto server = serverOf_.at(key);
        for (const auto &command : commands) {
            model_.probes_ += isProbe(command) && command.kind != CommandKind::Rollback ? 1 : 0;
            model_.time_.after(model_.delay(index_, server), [=, this] {
                const auto found = model_.servers_[server]->connections.find({index_, key});
                if (found == model_.servers_[server]->connections.end())
                    return;
                found->second.commands.push_back(command);
                runNext(key, server);
            });
        }
    }
    void closeConnection(ServerConnectionKey key) override
    {
        const auto server = serverOf_.at(key);
        model_.time_.after(model_.delay(index_, server), [=, this] {
            model_.servers_[server]->connections.erase({index_, key});
        });
    }
    void answer(const GroupRequest &request, GroupAnswer answer) override
    {
        const auto taken = model_.time_.now() - request.receivedAt;
        if (!answer.answer.error) {
            ++outcome.served;
            outcome.inTime += taken <= inTimeLimit ? 1 : 0;
        } else if (impliesDidNotRun(*answer.answer.error)) {
            ++outcome.refused;
            outcome.refusedLate += taken > lateRefusal ? 1 : 0;
        } else {
            ++outcome.otherErrors;
        }
    }
    void requestStranded(const GroupRequest &) override {}
    void requestRetried(const GroupRequest &, std::string_view, std::optional<AnswerCode>) override
    {
    }
    void connectionRefused(std::string_view, AnswerCode, Duration) override {}
    void shareWatermark(Position position, TimePoint sentAt, Position) override
    {
        model_.share(index_, position, sentAt);
    }
    void reportSuspicion(std::string_view, bool) override {}
    void primaryDemoted(std::string_view, bool, Position) override {}
    void orderPromotion(const PromotionChoice &) override {}

private:
    static std::size_t serverIndex(const ServerRegistration &registration)
    {
        return static_cast<std::size_t>(registration.port);
    }

    void reply(ServerConnectionKey key, std::size_t server, ServerReply reply)
    {
        reply.position = Position{1, position(server)};
        model_.time_.after(model_.delay(index_, server),
                           [=, this] { scheduler.replied(key, reply, model_.time_.now()); });
    }

    /// The last commit that a server's log holds.
    LogPosition position(std::size_t server) const
    {
        if (server == 0)
            return model_.position_;
        LogPosition applied = 100;
        for (const auto &[at, position] : model_.commits_) {
            if (at + model_.settings_.replicaLag <= model_.time_.now())
                applied = position;
        }
        return applied;
    }

    void accept(ServerConnectionKey key, std::size_t index)
    {
        auto &server = *model_.servers_[index];
        if (server.connections.size() >= model_.settings_.connectionLimit) {
            ++model_.refusedOpenings_;
            ServerReply refusal;
            refusal.error = AnswerCode::TooManyClients;
            reply(key, index, refusal);
            return;
        }
        server.connections[{index_, key}].busy = true;
        server.mostConnections = std::max(server.mostConnections, server.connections.size());
        useSlot(index, model_.settings_.handshake, [=, this] { finish(key, index, {}); });
    }

    void useSlot(std::size_t index, Duration duration, std::function<void()> done)
    {
        auto &server = *model_.servers_[index];
        if (server.busySlots >= model_.settings_.slots) {
            server.waiting.emplace_back(duration, std::move(done));
            return;
        }
        ++server.busySlots;
        model_.time_.after(duration, [=, this] {
            auto &used = *model_.servers_[index];
            --used.busySlots;
            done();
            if (!used.waiting.empty() && used.busySlots < model_.settings_.slots) {
                auto [next, run] = std::move(used.waiting.front());
                used.waiting.pop_front();
                useSlot(index, next, std::move(run));
            }
        });
    }

    void finish(ServerConnectionKey key, std::size_t index, ServerReply answer)
    {
        auto &server = *model_.servers_[index];
        const auto found = server.connections.find({index_, key});
        if (found == server.connections.end())
            return;
        found->second.busy = false;
        answer.state = found->second.state;
        reply(key, index, std::move(answer));
        runNext(key, index);
    }

    void runNext(ServerConnectionKey key, std::size_t index)
    {
        auto &server = *model_.servers_[index];
        const auto found = server.connections.find({index_, key});
        if (found == server.connections.end() || found->second.busy
            || found->second.commands.empty())
            return;
        auto &connection = found->second;
        const auto command = connection.commands.front();
        connection.commands.pop_front();
        connection.busy = true;
        ServerReply answer;
        if (command.after && *command.after > Position{1, position(index)})
            answer.error = AnswerCode::Lagging;
        else if (command.kind == CommandKind::Begin && index != 0)
            answer.error = AnswerCode::ReadOnly;
        else if (command.kind == CommandKind::Begin || command.kind == CommandKind::BeginReadOnly)
            connection.state = TransactionState::Open;
        else if (command.kind == CommandKind::Rollback || command.kind == CommandKind::Commit)
            connection.state = TransactionState::None;
        if (answer.error || !takesSlot(command.kind)) {
            finish(key, index, std::move(answer));
            return;
        }
        const Duration work = isProbe(command) ? Duration(1000) : model_.settings_.work;
        const auto spread = Duration(
            static_cast<Duration::rep>(static_cast<double>(work.count()) * 2 * model_.random()));
        useSlot(index, spread, [=, this]() mutable {
            auto &run = *model_.servers_[index];
            if (isProbe(command)) {
                answer.report = ServerReport{index == 0, 1, {1, position(index)}, 0};
            } else {
                ++run.statements;
                answer.signature = "signature";
                answer.rows = {"row"};
            }
            if (command.kind == CommandKind::Write)
                model_.commits_.emplace_back(model_.time_.now(), ++model_.position_);
            finish(key, index, std::move(answer));
        });
    }

    FleetModel &model_;
    std::size_t index_;
    std::map<ServerConnectionKey, std::size_t> serverOf_;

public:
    GroupScheduler scheduler;
    FleetModelOutcome outcome;
};

FleetModel::FleetModel(FleetModelSettings settings, std::uint64_t seed)
    : settings_(std::move(settings))
    , random_(seed)
{
    std::vector<ServerRegistration> registrations;
    for (std::size_t index = 0; index < 3; ++index) {
        auto server = std::make_unique<Server>();
        auto &registration = server->registration;
        registration.id = "db-" + std::to_string(index);
        registration.service = "bookings";
        registration.host = "10.0.0.1";
        registration.port = static_cast<std::uint16_t>(index);
        registration.slots = static_cast<std::uint32_t>(settings_.slots);
        registration.primary = index == 0;
        registrations.push_back(registration);
        servers_.push_back(std::move(server));
    }
    const auto allotment = settings_.allot(settings_.connectionLimit, settings_.proxies);
    for (std::size_t index = 0; index < settings_.proxies; ++index) {
        proxies_.push_back(std::make_unique<Proxy>(*this, index));
        // The processes start within 300 ms.
        time_.after(Duration(static_cast<Duration::rep>(300'000 * random())), [=, this] {
            auto &scheduler = proxies_[index]->scheduler;
            scheduler.setWitness(index < settings_.witnesses, std::min(index, settings_.witnesses));
            scheduler.setConnections(allotment, time_.now());
            scheduler.setServers(registrations, time_.now());
            tick(index);
        });
    }
    time_.runUntil(time_.now() + 3s);
    scheduleRequest();
}

FleetModel::~FleetModel() = default;

double FleetModel::random()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

Duration FleetModel::delay(std::size_t proxy, std::size_t server) const
{
    return proxy % 3 == server ? settings_.nearDelay : settings_.farDelay;
}

void FleetModel::tick(std::size_t proxy)
{
    proxies_[proxy]->scheduler.tick(time_.now());
    time_.after(tickInterval, [=, this] { tick(proxy); });
}

void FleetModel::share(std::size_t from, Position position, TimePoint sentAt)
{
    if (settings_.sharingDelay == Duration::zero())
        return;
    time_.after(settings_.sharingDelay, [=, this] {
        for (std::size_t index = 0; index < proxies_.size(); ++index) {
            if (index != from)
                proxies_[index]->scheduler.watermarkHeard(position, sentAt, time_.now());
        }
    });
}

void FleetModel::scheduleRequest()
{
    const double gap = -std::log(1 - random()) / settings_.requestsPerSecond;
    time_.after(Duration(static_cast<Duration::rep>(gap * 1'000'000)), [this] {
        const auto index =
            static_cast<std::size_t>(random() * static_cast<double>(proxies_.size()));
        GroupRequest request;
        request.number = ++requests_;
        request.session = request.number;
        request.statement.id = "id" + std::to_string(request.number);
        const bool write = random() < settings_.writeShare;
        request.statement.kind = write ? StatementKind::Write : StatementKind::Read;
        request.statement.text = "item";
        request.readOnly = !write;
        request.values = std::make_shared<SessionValues>();
        request.route = "route";
        request.maxStaleness = maxStaleness;
        request.startedAt = time_.now();
        request.receivedAt = time_.now();
        request.deadline = time_.now() + routeTimeout;
        request.goal = inTimeLimit;
        ++proxies_[index]->outcome.requests;
        proxies_[index]->scheduler.submit(std::move(request), time_.now());
        scheduleRequest();
    });
}

void FleetModel::run(Duration duration)
{
    time_.runUntil(time_.now() + duration);
}

FleetModelOutcome FleetModel::outcome(std::size_t proxy) const
{
    return proxies_[proxy]->outcome;
}

FleetModelOutcome FleetModel::outcome() const
{
    FleetModelOutcome sum;
    for (const auto &proxy : proxies_) {
        const auto &outcome = proxy->outcome;
        sum.requests += outcome.requests;
        sum.served += outcome.served;
        sum.inTime += outcome.inTime;
        sum.refused += outcome.refused;
        sum.refusedLate += outcome.refusedLate;
        sum.otherErrors += outcome.otherErrors;
    }
    return sum;
}

std::uint64_t FleetModel::statements(std::size_t index) const
{
    return servers_[index]->statements;
}

std::size_t FleetModel::mostConnections(std::size_t index) const
{
    return servers_[index]->mostConnections;
}

} // namespace shallotwalk
