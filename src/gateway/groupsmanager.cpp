#include "gateway/groupsmanager.h"

#include <caf/io/middleman.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

/// For the answer of one group to a request for metrics or state.
constexpr auto groupResponseTimeout = std::chrono::milliseconds(900);

/// Restarts the group of a pool after a delay.
struct RestartGroup
{
    std::string pool;
};

/// Combines the answers of all groups to one request. \c pending counts those still missing.
template<class Answer>
struct ResponseCollector
{
    caf::typed_response_promise<Answer> promise;
    Answer answer;
    std::size_t pending = 0;
};

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RestartGroup)

namespace shallotwalk {

GroupsManager::~GroupsManager()
{
    for (const auto &[pool, group] : groups_)
        caf::anon_send_exit(group, caf::exit_reason::user_shutdown);
}

caf::behavior GroupsManager::run(Broker *self, GroupsContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior GroupsManager::start(GroupsContext context)
{
    context_ = std::move(context);
    self_->set_down_handler([this](caf::down_msg &message) { handleDown(message); });
    self_->send(context_.directory, DirectoryRequest{});
    return {
        [this](const DirectoryChanged &message) { update(message); },
        [this](const RestartGroup &message) {
            startGroup(message.pool);
            publishRouting();
            // The new group doesn't know the recorded promotions; the directory sends them again.
            self_->send(context_.directory, DirectoryRequest{});
        },
        [this](const PromotionRecorded &message) {
            const auto found = groups_.find(message.record.service);
            if (found != groups_.end())
                self_->send(found->second, message);
        },
        [this](const SuspicionsChanged &message) {
            const auto found = groups_.find(message.service);
            if (found != groups_.end())
                self_->send(found->second, message);
        },
        [this](const ConfirmPromotion &message) {
            const auto found = groups_.find(message.choice.service);
            if (found != groups_.end())
                self_->send(found->second, message);
        },
        [this](const WatermarksHeard &message) { forward(message); },
        [this](const PromotionFailed &message) {
            const auto found = groups_.find(message.choice.service);
            if (found != groups_.end())
                self_->send(found->second, message);
        },
        [this](const ServingChanged &message) {
            const bool wasServing = !servingPools_.empty();
            if (message.serving)
                servingPools_.insert(message.pool);
            else
                servingPools_.erase(message.pool);
            reportServingChange(wasServing);
        },
        [this](RoutingRequest) { publishRouting(); },
        [this](DrainRequest) {
            for (const auto &[pool, group] : groups_)
                self_->send(group, DrainRequest{});
            self_->quit();
        },
        [this](MetricsRequest) { return collectMetrics(); },
        [this](StateDumpRequest) { return collectState(); },
    };
}

void GroupsManager::update(const DirectoryChanged &message)
{
    const bool tablesChanged =
        message.configuration
        && (!directory_.configuration
            || directory_.configuration->tables->version != message.configuration->tables->version);
    directory_ = message;
    if (!directory_.configuration)
        return;
    if (tablesChanged)
        router_ = std::make_shared<const Router>(directory_.configuration->tables);
    // A pool that was removed from the configuration keeps its group: routes may name it again, and
    // its open transactions go on.
    for (const auto &pool : directory_.configuration->tables->pools)
        pools_.insert_or_assign(pool.name, pool);
    for (const auto &[name, pool] : pools_) {
        if (!groups_.contains(name))
            startGroup(name);
        else
            configureGroup(name);
    }
    if (tablesChanged)
        publishRouting();
}

void GroupsManager::startGroup(const std::string &pool)
{
    GroupContext context;
    context.scheduler.service = pool;
    context.scheduler.avoidFailingServers = context_.avoidFailingServers;
    context.scheduler.randomSeed = rendezvousWeight(pool, context_.vm);
    context.scheduler.makePolicy = [] { return std::make_unique<FairSharePolicy>(); };
    context.protocols = context_.protocols;
    context.promotions = context_.promotions;
    context.directory = context_.directory;
    context.exchange = context_.exchange;
    context.manager = self_;
    context.clock = context_.clock;
    auto group = self_->system().middleman().spawn_broker(&GroupActor::run, context);
    self_->monitor(group);
    groups_[pool] = std::move(group);
    configureGroup(pool);
}

void GroupsManager::configureGroup(const std::string &pool)
{
    GroupConfigured message;
    for (const auto &server : *directory_.servers) {
        if (server.service == pool)
            message.servers.push_back(server);
    }
    message.connections = allotConnections(pools_.at(pool).connectionLimit, directory_.proxies);
    if (const auto role = directory_.roles.find(pool); role != directory_.roles.end())
        message.role = role->second;
    message.confirmReplicas = pools_.at(pool).confirmReplicas;
    message.transactionIdleLimit = directory_.configuration->transactionIdleLimit;
    message.connectionsPerTeam = directory_.configuration->tables->teams != nullptr;
    self_->send(groups_.at(pool), std::move(message));
}

/// Passes each group its own watermarks.
void GroupsManager::forward(const WatermarksHeard &message)
{
    std::map<std::string_view, WatermarksHeard> byService;
    for (const auto &watermark : message.watermarks)
        byService[watermark.service].watermarks.push_back(watermark);
    for (auto &[service, heard] : byService) {
        const auto found = groups_.find(service);
        if (found != groups_.end())
            self_->send(found->second, std::move(heard));
    }
}

void GroupsManager::handleDown(const caf::down_msg &message)
{
    const auto found = std::find_if(groups_.begin(), groups_.end(), [&](const auto &entry) {
        return entry.second.address() == message.source;
    });
    if (found == groups_.end() || !message.reason)
        return;
    const auto pool = found->first;
    const bool wasServing = !servingPools_.empty();
    groups_.erase(found);
    servingPools_.erase(pool);
    reportServingChange(wasServing);
    publishRouting();
    const auto delay = limiter_.recordFailure(context_.clock->now());
    spdlog::error("event=group_failed service={} reason={}", logValue(pool),
                  logValue(self_->system().render(message.reason)));
    if (delay)
        self_->delayed_send(self_, *delay, RestartGroup{pool});
    else
        self_->quit(caf::exit_reason::unhandled_exception);
}

void GroupsManager::publishRouting()
{
    auto routing = std::make_shared<SessionRouting>();
    routing->router = router_;
    routing->groups = groups_;
    self_->send(context_.sessions, RoutingChanged{std::move(routing)});
}

void GroupsManager::reportServingChange(bool wasServing)
{
    if (wasServing != !servingPools_.empty())
        self_->send(context_.node, ServingChanged{{}, !wasServing});
}

caf::result<MetricsText> GroupsManager::collectMetrics()
{
    auto collector = std::make_shared<ResponseCollector<MetricsText>>();
    collector->promise = self_->make_response_promise<MetricsText>();
    collector->pending = groups_.size();
    collector->answer.text =
        metricText("shallotwalk_proxies", "gauge", "Proxies of the fleet.", directory_.proxies);
    const auto finish = [collector] {
        if (--collector->pending == 0)
            collector->promise.deliver(std::move(collector->answer));
    };
    if (groups_.empty())
        collector->promise.deliver(collector->answer);
    for (const auto &[pool, group] : groups_) {
        self_->request(group, groupResponseTimeout, MetricsRequest{})
            .then(
                [collector, finish](const MetricsText &metrics) {
                    collector->answer.text += metrics.text;
                    finish();
                },
                [finish](const caf::error &) { finish(); });
    }
    return collector->promise;
}

caf::result<StateDump> GroupsManager::collectState()
{
    auto collector = std::make_shared<ResponseCollector<StateDump>>();
    collector->promise = self_->make_response_promise<StateDump>();
    collector->pending = groups_.size();
    collector->answer.state = boost::json::array{};
    if (groups_.empty())
        collector->promise.deliver(collector->answer);
    for (const auto &[pool, group] : groups_) {
        const auto finish = [collector](boost::json::value state) {
            collector->answer.state.as_array().push_back(std::move(state));
            if (--collector->pending == 0)
                collector->promise.deliver(std::move(collector->answer));
        };
        self_->request(group, groupResponseTimeout, StateDumpRequest{})
            .then([finish](const StateDump &dump) { finish(dump.state); },
                  [finish, pool = pool](const caf::error &) {
                      finish(boost::json::object{{"service", pool}, {"error", "no answer"}});
                  });
    }
    return collector->promise;
}

} // namespace shallotwalk
