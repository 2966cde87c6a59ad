#include "gateway/gatewaytree.h"

#include "gateway/directoryactor.h"
#include "gateway/exchangeactor.h"
#include "gateway/feedserver.h"
#include "gateway/groupsmanager.h"
#include "gateway/httpcaller.h"
#include "gateway/promotionactor.h"
#include "gateway/quotaactor.h"

#include <caf/io/middleman.hpp>

#include <random>

namespace shallotwalk {

namespace {

using Parent = caf::event_based_actor;

/// Followers keep a connection each. Half of a data centre's proxies may ask the same watcher.
constexpr std::size_t administrationConnectionLimit = 300;

/// File descriptors that are not available to client sessions: files, listeners, and the
/// connections to the store and the backend servers.
constexpr std::size_t reservedDescriptors = 700;

/// Relays to the children that other actors send to. Their addresses survive restarts.
struct GatewayRelays
{
    explicit GatewayRelays(caf::actor_system &system)
        : watchCaller(system.spawn<Relay>("watchCaller"))
        , storeCaller(system.spawn<Relay>("storeCaller"))
        , platformCaller(system.spawn<Relay>("platformCaller"))
        , feedCaller(system.spawn<Relay>("feedCaller"))
        , feed(system.spawn<Relay>("feed"))
        , directory(system.spawn<Relay>("directory"))
        , promotions(system.spawn<Relay>("promotions"))
        , groups(system.spawn<Relay>("groups"))
        , exchange(system.spawn<Relay>("exchange"))
        , quotas(system.spawn<Relay>("quotas"))
        , sessions(system.spawn<Relay>("sessions"))
        , root(system.spawn<Relay>("root"))
    {
    }

    caf::actor watchCaller;
    caf::actor storeCaller;
    caf::actor platformCaller;
    caf::actor feedCaller;
    caf::actor feed;
    caf::actor directory;
    caf::actor promotions;
    caf::actor groups;
    caf::actor exchange;
    caf::actor quotas;
    caf::actor sessions;
    caf::actor root;
};

/// A child that runs as a broker, on the thread of CAF's network multiplexer.
template<class Run, class... Arguments>
ChildSpecification brokerChild(std::string name, caf::actor relay, Run run, Arguments... arguments)
{
    return {std::move(name),
            [=](Parent *parent) {
                return parent->system().middleman().spawn_broker(run, arguments...);
            },
            std::move(relay)};
}

/// Builds the specifications of the root supervisor's children.
class GatewayTree
{
public:
    GatewayTree(GatewaySettings settings, GatewayProtocols protocols,
                std::shared_ptr<const Clock> clock, GatewayRelays relays, caf::actor node)
        : settings_(std::move(settings))
        , protocols_(std::move(protocols))
        , clock_(std::move(clock))
        , relays_(std::move(relays))
        , node_(std::move(node))
    {
    }

    std::vector<ChildSpecification> children() const
    {
        std::vector<ChildSpecification> list{
            brokerChild("watchCaller", relays_.watchCaller, &HttpCaller::run, settings_.store,
                        clock_),
            brokerChild("storeCaller", relays_.storeCaller, &HttpCaller::run, settings_.store,
                        clock_),
            brokerChild("platformCaller", relays_.platformCaller, &HttpCaller::run,
                        settings_.platform, clock_),
            brokerChild("feedCaller", relays_.feedCaller, &HttpCaller::run, HttpEndpoint{}, clock_),
            feed(),
            promotions(),
            groups(),
            exchange(),
            quotas(),
            sessions(),
            directory(),
            httpListener("readiness", settings_.readiness, {settings_.readinessPath, {}, {}, {}}),
        };
        if (settings_.administration.port != 0) {
            list.push_back(httpListener(
                "administration", settings_.administration,
                {{}, std::string(metricsPath), std::string(statePath), std::string(feedPath)}));
        }
        return list;
    }

private:
    ChildSpecification feed() const
    {
        FeedServerContext context;
        context.clock = clock_;
        context.directory = relays_.directory;
        context.holdTime = sourceSettings().holdTime;
        return brokerChild("feed", relays_.feed, &FeedServer::run, context);
    }

    DirectorySourceSettings sourceSettings() const
    {
        return DirectorySourceSettings::within(settings_.configurationApplyLimit);
    }

    ChildSpecification promotions() const
    {
        PromotionContext context;
        context.vm = settings_.vm;
        context.protocols = protocols_;
        context.storeCaller = relays_.storeCaller;
        context.platformCaller = relays_.platformCaller;
        context.groups = relays_.groups;
        context.clock = clock_;
        return brokerChild("promotions", relays_.promotions, &PromotionActor::run, context);
    }

    ChildSpecification groups() const
    {
        GroupsContext context;
        context.avoidFailingServers = settings_.avoidFailingServers;
        context.vm = settings_.vm;
        context.protocols = protocols_;
        context.directory = relays_.directory;
        context.promotions = relays_.promotions;
        context.exchange = relays_.exchange;
        context.sessions = relays_.sessions;
        context.node = node_;
        context.clock = clock_;
        return brokerChild("groups", relays_.groups, &GroupsManager::run, context);
    }

    /// This proxy as its entry in the store describes it.
    FleetMember self() const
    {
        return {settings_.vm, settings_.dataCentre, settings_.exchange.host,
                settings_.exchange.port, settings_.quotaPort};
    }

    /// Differs between two starts of this proxy.
    static std::uint64_t newIncarnation()
    {
        // The entropy of the system, because the clock may stand still between two starts.
        std::random_device device;
        return std::uint64_t{device()} << 32U | device();
    }

    ChildSpecification exchange() const
    {
        ExchangeContext context;
        context.self = self();
        context.incarnation = newIncarnation();
        context.directory = relays_.directory;
        context.groups = relays_.groups;
        context.clock = clock_;
        return brokerChild("exchange", relays_.exchange, &ExchangeActor::run, context);
    }

    ChildSpecification quotas() const
    {
        QuotaContext context;
        context.self = self();
        context.incarnation = newIncarnation();
        context.quotas = settings_.quotas;
        context.directory = relays_.directory;
        context.sessions = relays_.sessions;
        context.clock = clock_;
        return brokerChild("quotas", relays_.quotas, &QuotaActor::run, context);
    }

    ChildSpecification sessions() const
    {
        auto clients = settings_.clients;
        clients.sessionLimit = settings_.descriptorLimit > reservedDescriptors
                                   ? settings_.descriptorLimit - reservedDescriptors
                                   : 1;
        auto context = std::make_shared<SessionContext>();
        context->protocols = protocols_;
        context->quotas = relays_.quotas;
        context->clock = clock_;
        return brokerChild("sessions", relays_.sessions, &SessionListener::run, clients,
                           std::shared_ptr<const SessionContext>(std::move(context)),
                           relays_.groups, node_);
    }

    ChildSpecification directory() const
    {
        DirectoryContext context;
        context.self = self();
        context.protocols = protocols_;
        context.watchCaller = relays_.watchCaller;
        context.storeCaller = relays_.storeCaller;
        context.feedCaller = relays_.feedCaller;
        context.feed = relays_.feed;
        context.source = sourceSettings();
        context.groups = relays_.groups;
        context.exchange = relays_.exchange;
        context.quotas = relays_.quotas;
        context.clock = clock_;
        return brokerChild("directory", relays_.directory, &DirectoryActor::run, context);
    }

    ChildSpecification httpListener(std::string name, const HttpEndpoint &endpoint,
                                    const GatewayService::Paths &paths) const
    {
        auto context = std::make_shared<HttpConnectionContext>();
        context->service = std::make_shared<GatewayService>(
            paths, node_, relays_.root, relays_.feed,
            std::vector<caf::actor>{relays_.groups, relays_.sessions, relays_.directory,
                                    relays_.exchange, relays_.quotas, relays_.feed});
        context->clock = clock_;
        const ListenerSettings listener{name, endpoint.host, endpoint.port,
                                        administrationConnectionLimit};
        return brokerChild(std::move(name), {}, &HttpListener::run, listener,
                           std::shared_ptr<const HttpConnectionContext>(std::move(context)));
    }

    GatewaySettings settings_;
    GatewayProtocols protocols_;
    std::shared_ptr<const Clock> clock_;
    GatewayRelays relays_;
    caf::actor node_;
};

} // namespace

void configureGateway(caf::actor_system_config &config)
{
    config.load<caf::io::middleman>();
    // The default policy, work stealing, wakes each idle worker about 200 times a second.
    config.set("scheduler.policy", caf::atom("sharing"));
    // Brokers share the thread of the network multiplexer, so few messages reach the scheduler.
    config.set("scheduler.max-threads", 1);
}

caf::actor startGateway(caf::actor_system &system, const GatewaySettings &settings,
                        const GatewayProtocols &protocols, std::shared_ptr<const Clock> clock)
{
    const GatewayRelays relays(system);
    GatewayNodeContext context;
    context.directory = relays.directory;
    context.quotas = relays.quotas;
    context.sessions = relays.sessions;
    context.shutdown = ShutdownTimes::within(settings.shutdownGrace);
    context.clock = clock;
    auto node = system.spawn<GatewayNode>(std::move(context));
    const GatewayTree tree(settings, protocols, clock, relays, node);
    const auto root = system.spawn<Supervisor>("root", tree.children(), clock, RestartRule{});
    caf::anon_send(relays.root, ChildStarted{"root", root});
    caf::anon_send(node, MonitorRoot{root});
    return node;
}

} // namespace shallotwalk
