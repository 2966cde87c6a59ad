#include "configuration/configuration.h"
#include "registry/registry.h"
#include "support/standinprocess.h"

#include <boost/test/unit_test.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

using namespace shallotwalk;
using std::chrono::seconds;

namespace {

struct SystemConfig : caf::actor_system_config
{
    SystemConfig() { set("scheduler.policy", caf::atom("sharing")); }
};

/// Two proxies' configuration actors on one stand-in store.
struct Fixture
{
    test::StandinProcess store{STANDIN_STORE};
    SystemConfig config;
    caf::actor_system system{config};
    caf::scoped_actor self{system};
    std::shared_ptr<const Clock> clock = std::make_shared<BootClock>();
    std::vector<caf::actor> actors;
    caf::actor first = proxy("proxy-1", {});
    caf::actor second = proxy("proxy-2", {});

    ~Fixture()
    {
        for (const auto &actor : actors)
            self->send_exit(actor, caf::exit_reason::user_shutdown);
    }

    caf::actor proxy(const std::string &vm, const caf::actor &peers,
                     std::vector<std::string> known = {"proxy-1", "proxy-2"},
                     std::shared_ptr<Subscribers> subscribers = std::make_shared<Subscribers>())
    {
        StoreWatcherSettings watching;
        watching.store.endpoints = {store.endpoint()};
        ConfigurationSettings settings;
        settings.vm = vm;
        settings.storeClient = system.spawn<StoreClient, caf::detached>(watching.store, clock);
        settings.storeWatcher = system.spawn<StoreWatcher, caf::detached>(watching, clock);
        settings.peers = peers;
        settings.knownProxies = std::move(known);
        settings.tickInterval = std::chrono::milliseconds(50);
        auto actor = system.spawn<ConfigurationActor>(settings, clock, std::move(subscribers));
        actors.insert(actors.end(), {settings.storeClient, settings.storeWatcher, actor});
        return actor;
    }

    ApplyOutcome apply(const caf::actor &proxy, ConfigurationVersion expected,
                       const std::string &pool)
    {
        Tables tables;
        Pool row;
        row.name = pool;
        row.servers = {{"db-1", "nord1", "10.0.0.1", 5432}};
        row.databaseName = "d";
        row.user = "u";
        row.confirmReplicas = 0;
        tables.pools.push_back(row);
        ApplyOutcome outcome;
        self->request(proxy, seconds(20), ApplyTables{expected, tables})
            .receive([&](const ApplyOutcome &answer) { outcome = answer; },
                     [](const caf::error &) { BOOST_ERROR("no answer"); });
        return outcome;
    }

    std::string awaitPool(ConfigurationVersion version)
    {
        std::string pool;
        bool waiting = true;
        self->receive_while(waiting)(
            [&](const TablesChanged &message) {
                waiting = message.tables->version < version;
                if (!waiting)
                    pool = message.tables->pools.at(0).name;
            },
            caf::after(seconds(5)) >> [&] { waiting = false; });
        return pool;
    }
};

} // namespace

// Guards against a change that other proxies don't learn of, and a lost answer or a conflict that
// is reported wrongly (R9).
BOOST_FIXTURE_TEST_CASE(changes_reach_the_other_proxy, Fixture)
{
    self->send(second, SubscribeTables{caf::actor_cast<caf::actor>(self)});
    BOOST_TEST((apply(first, 0, "a").status == ApplyStatus::Accepted));
    BOOST_TEST(awaitPool(1) == "a");
    const auto conflict = apply(second, 0, "b");
    BOOST_TEST((conflict.status == ApplyStatus::Conflict));
    BOOST_TEST(conflict.version == 1U);
    BOOST_TEST((apply(second, 1, "c").status == ApplyStatus::Accepted));
    BOOST_TEST(awaitPool(2) == "c");
    BOOST_TEST((apply(first, 2, "").status == ApplyStatus::Invalid));
}

// Guards against a dispatcher that never gets new tables after a restart of this actor (R9).
BOOST_FIXTURE_TEST_CASE(subscriptions_survive_a_restart, Fixture)
{
    const auto subscribers = std::make_shared<Subscribers>();
    const auto failing = proxy("proxy-3", {}, {}, subscribers);
    self->send(failing, SubscribeTables{caf::actor_cast<caf::actor>(self)});
    BOOST_TEST((apply(first, 0, "a").status == ApplyStatus::Accepted));
    BOOST_TEST(awaitPool(1) == "a");
    self->send_exit(failing, caf::exit_reason::unhandled_exception);
    self->wait_for(failing);
    proxy("proxy-3", {}, {}, subscribers);
    BOOST_TEST((apply(first, 1, "b").status == ApplyStatus::Accepted));
    BOOST_TEST(awaitPool(2) == "b");
}

// Guards against a proxy that starts without tables, or never, while the store is down.
BOOST_FIXTURE_TEST_CASE(proxy_starts_from_its_peer_while_the_store_is_down, Fixture)
{
    BOOST_REQUIRE((apply(first, 0, "a").status == ApplyStatus::Accepted));
    store.fault("down", R"({"mode": "refuse", "durationMs": 60000})");
    // It asks the proxies that it knows at once, so it must not know others before the message.
    const auto third = proxy("proxy-3", caf::actor_cast<caf::actor>(self), {});
    self->send(third, SetKnownProxies{{"proxy-1", "proxy-3"}});
    self->send(third, SubscribeTables{caf::actor_cast<caf::actor>(self)});
    std::string pool;
    bool waiting = true;
    const TablesHead head{1, "edit", {}};
    self->receive_while(waiting)(
        [&](const PeerHeadRequest &request) {
            BOOST_TEST(request.vm == "proxy-1");
            self->send(third, PeerHead{request.vm, true, head});
        },
        [&](const TablesChanged &message) {
            BOOST_TEST(message.tables->version == 1U);
            waiting = false;
        },
        caf::after(seconds(5)) >>
            [&] {
                BOOST_ERROR("not ready");
                waiting = false;
            });
}
