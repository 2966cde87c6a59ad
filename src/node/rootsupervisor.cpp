#include "node/rootsupervisor.h"

#include "administration/administration.h"
#include "configuration/configuration.h"
#include "databases/databases.h"
#include "feed/feed.h"
#include "frontend/frontend.h"
#include "peers/peers.h"
#include "registry/registry.h"

#include <caf/io/middleman.hpp>

#include <ctime>

namespace shallotwalk {

namespace {

using Parent = caf::event_based_actor;

constexpr std::size_t administrationConnectionLimit = 100;
constexpr std::size_t administrationBodyLimit = std::size_t{32} * 1024 * 1024;

/// Stable addresses of the children that others send to.
struct Relays
{
    explicit Relays(caf::actor_system &system)
        : storeClient(system.spawn<Relay>(std::string(storeClientName)))
        , storeWatcher(system.spawn<Relay>(std::string(storeWatcherName)))
        , vmList(system.spawn<Relay>(std::string(vmListPollerName)))
        , feed(system.spawn<Relay>(std::string(feedName)))
        , configuration(system.spawn<Relay>("configuration"))
        , bridge(system.spawn<Relay>("bridge"))
        , peers(system.spawn<Relay>("peers"))
        , members(system.spawn<Relay>("membership"))
        , databases(system.spawn<Relay>(std::string(databasesName)))
        , dispatcher(system.spawn<Relay>("dispatcher"))
        , callers(system.spawn<Relay>(std::string(callerListenerName)))
        , root(system.spawn<Relay>("root"))
    {
    }

    caf::actor storeClient;
    caf::actor storeWatcher;
    caf::actor vmList;
    caf::actor feed;
    caf::actor configuration;
    caf::actor bridge;
    caf::actor peers;
    caf::actor members;
    caf::actor databases;
    caf::actor dispatcher;
    caf::actor callers;
    caf::actor root;
};

/// Builds the child specifications of the root supervisor, one branch at a time.
class Tree
{
public:
    Tree(Settings settings, std::shared_ptr<const Clock> clock, Relays relays, caf::actor node)
        : settings_(std::move(settings))
        , clock_(std::move(clock))
        , relays_(std::move(relays))
        , node_(std::move(node))
    {
    }

    std::vector<ChildSpecification> children() const
    {
        return {platform(),  feed(),     configuration(), peers(),
                databases(), frontend(), administration()};
    }

private:
    /// A branch with a supervisor of its own, whose children's starts \a listener sees.
    ChildSpecification branch(std::string name, std::vector<ChildSpecification> children,
                              caf::actor listener = {}) const
    {
        return {name, [name, children = std::move(children), clock = clock_,
                       listener = std::move(listener)](Parent *parent) {
                    return parent->spawn<Supervisor>(name, children, clock, RestartRule{},
                                                     listener);
                }};
    }

    ChildSpecification platform() const
    {
        RegistrySettings platform;
        for (const auto &address : settings_.store)
            platform.store.endpoints.push_back({address.host, address.port});
        platform.vmList.endpoint = {settings_.vmList.host, settings_.vmList.port};
        auto children = registryChildren(platform, clock_);
        for (auto &child : children) {
            child.relay = child.name == storeClientName    ? relays_.storeClient
                          : child.name == storeWatcherName ? relays_.storeWatcher
                                                           : relays_.vmList;
        }
        return branch("platform", std::move(children));
    }

    ChildSpecification feed() const
    {
        FeedContext context;
        context.vm = settings_.vm;
        context.dataCentre = settings_.dataCentre;
        context.recordsPrefix = ownerKeyPrefix;
        context.storeWatcher = relays_.storeWatcher;
        context.storeClient = relays_.storeClient;
        context.vmList = relays_.vmList;
        context.members = relays_.members;
        context.peers = relays_.peers;
        context.clock = clock_;
        auto children = feedChildren(context);
        children.front().relay = relays_.feed;
        return branch("feedBranch", std::move(children));
    }

    ChildSpecification configuration() const
    {
        ConfigurationSettings settings;
        settings.vm = settings_.vm;
        settings.storeClient = relays_.storeClient;
        settings.storeWatcher = relays_.feed;
        settings.peers = relays_.bridge;
        ChildSpecification actor{"configuration",
                                 [settings, clock = clock_,
                                  subscribers = std::make_shared<Subscribers>()](Parent *parent) {
                                     return parent->spawn<ConfigurationActor>(settings, clock,
                                                                              subscribers);
                                 },
                                 relays_.configuration};
        ChildSpecification bridge{"bridge",
                                  [relays = relays_](Parent *parent) {
                                      return parent->spawn<PeerBridge>(relays.configuration,
                                                                       relays.peers, relays.feed);
                                  },
                                  relays_.bridge};
        return branch("configuration", {std::move(actor), std::move(bridge)});
    }

    ChildSpecification peers() const
    {
        PeersSettings settings;
        settings.identity = {settings_.vm, settings_.dataCentre, settings_.peerKey};
        settings.listenHost = settings_.peers.host;
        settings.advertisedHost = settings_.peers.host;
        settings.port = settings_.peers.port;
        for (const auto &seed : settings_.seeds)
            settings.seeds.push_back({{}, seed.host, seed.port});
        settings.incarnation = static_cast<std::uint64_t>(std::time(nullptr));
        auto children = peersChildren(settings, clock_);
        for (auto &child : children) {
            if (child.name == "peers")
                child.relay = relays_.peers;
            else if (child.name == "membership")
                child.relay = relays_.members;
        }
        return branch("peerBranch", std::move(children), node_);
    }

    ChildSpecification databases() const
    {
        DatabasesContext context;
        context.vm = settings_.vm;
        context.configuration = relays_.configuration;
        context.storeWatcher = relays_.feed;
        context.store = relays_.storeClient;
        context.vmList = relays_.feed;
        context.members = relays_.members;
        context.peers = relays_.peers;
        context.dispatcher = relays_.dispatcher;
        context.clock = clock_;
        context.spawner =
            std::make_shared<PgBackendSpawner>(clock_, settings_.database.resultBytes);
        context.ownership = settings_.ownership;
        context.database = settings_.database;
        return {std::string(databasesName),
                [context](Parent *parent) { return parent->spawn<DatabasesManager>(context); },
                relays_.databases};
    }

    ChildSpecification frontend() const
    {
        DispatcherContext context;
        context.vm = settings_.vm;
        context.databases = relays_.databases;
        context.peers = relays_.peers;
        context.configuration = relays_.configuration;
        context.clock = clock_;
        ChildSpecification dispatcher{
            "dispatcher", [context](Parent *parent) { return parent->spawn<Dispatcher>(context); },
            relays_.dispatcher};
        auto connections = std::make_shared<HttpConnectionContext>();
        connections->service = std::make_shared<CallerService>(
            relays_.dispatcher, clock_, std::make_shared<SessionCodec>(settings_.sessionKey));
        connections->clock = clock_;
        connections->limits = settings_.http;
        connections->drainIdleLimit = settings_.drain.idle;
        const ListenerSettings listener{std::string(callerListenerName), settings_.callers.host,
                                        settings_.callers.port, settings_.callerConnectionLimit};
        auto callers = listen(listener, connections);
        callers.relay = relays_.callers;
        return branch("frontend", {std::move(dispatcher), std::move(callers)}, node_);
    }

    ChildSpecification administration() const
    {
        AdministrationContext context;
        context.lifecycle = node_;
        context.configuration = relays_.configuration;
        context.root = relays_.root;
        context.metrics = {relays_.dispatcher, relays_.callers, relays_.databases, relays_.feed};
        context.operatorsKey = settings_.operatorsKey;
        auto connections = std::make_shared<HttpConnectionContext>();
        connections->service = std::make_shared<AdministrationService>(std::move(context));
        connections->clock = clock_;
        connections->limits.body = administrationBodyLimit;
        return listen({"administration", settings_.administration.host,
                       settings_.administration.port, administrationConnectionLimit},
                      connections);
    }

    static ChildSpecification listen(const ListenerSettings &settings,
                                     std::shared_ptr<const HttpConnectionContext> context)
    {
        return {settings.name, [settings, context](Parent *parent) {
                    return parent->system().middleman().spawn_broker(&HttpListener::run, settings,
                                                                     context);
                }};
    }

    Settings settings_;
    std::shared_ptr<const Clock> clock_;
    Relays relays_;
    caf::actor node_;
};

} // namespace

void configureActorSystem(caf::actor_system_config &config)
{
    config.load<caf::io::middleman>();
    // Work stealing wakes each idle worker about 200 times a second, which alone exceeds the
    // control budget of 1.5% of a core.
    config.set("scheduler.policy", caf::atom("sharing"));
    config.set("scheduler.max-threads", 4);
}

caf::actor startNode(caf::actor_system &system, const Settings &settings,
                     std::shared_ptr<const Clock> clock)
{
    const Relays relays(system);
    NodeContext context;
    context.drain = settings.drain;
    context.promiseDelay = settings.ownership.promise + settings.ownership.renewal;
    context.clock = clock;
    context.configuration = relays.configuration;
    context.members = relays.members;
    context.peerHandlers = {relays.databases, relays.databases, relays.bridge, relays.dispatcher,
                            relays.feed};
    auto node = system.spawn<NodeActor>(std::move(context));
    const Tree tree(settings, clock, relays, node);
    const auto root = system.spawn<Supervisor>("root", tree.children(), clock, RestartRule{}, node);
    caf::anon_send(relays.root, ChildStarted{"root", root});
    caf::anon_send(node, WatchRoot{root});
    return node;
}

} // namespace shallotwalk
