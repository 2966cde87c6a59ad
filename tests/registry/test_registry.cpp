#include "registry/registry.h"
#include "supervision/supervision.h"
#include "support/standinprocess.h"
#include "wire/storecodec.h"

#include <boost/test/unit_test.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/scoped_actor.hpp>

using namespace shallotwalk;
using shallotwalk::test::StandinProcess;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct SystemConfig : caf::actor_system_config
{
    SystemConfig() { set("scheduler.policy", caf::atom("sharing")); }
};

/// A stand-in store and an actor system.
struct Fixture
{
    StandinProcess store{STANDIN_STORE};
    SystemConfig config;
    caf::actor_system system{config};
    caf::scoped_actor self{system};
    std::shared_ptr<const Clock> clock = std::make_shared<BootClock>();
    std::vector<caf::actor> actors;

    ~Fixture()
    {
        for (const auto &actor : actors)
            self->send_exit(actor, caf::exit_reason::user_shutdown);
    }

    StoreClientSettings settings() const
    {
        StoreClientSettings settings;
        settings.endpoints = {store.endpoint()};
        settings.callTimeout = milliseconds(300);
        return settings;
    }

    caf::actor client(const StoreClientSettings &settings)
    {
        actors.push_back(system.spawn<StoreClient, caf::detached>(settings, clock));
        return actors.back();
    }

    caf::actor watcher(const std::shared_ptr<StoreSubscribers> &subscribers)
    {
        StoreWatcherSettings watching;
        watching.store = settings();
        watching.firstRetryDelay = milliseconds(10);
        watching.checkInterval = milliseconds(100);
        watching.checkGrace = milliseconds(50);
        watching.waitSlice = milliseconds(20);
        actors.push_back(system.spawn<StoreWatcher, caf::detached>(watching, clock, subscribers));
        return actors.back();
    }

    caf::actor watcher()
    {
        watcher(std::make_shared<StoreSubscribers>());
        self->send(actors.back(), StoreSubscribe{"/k", caf::actor_cast<caf::actor>(self)});
        return actors.back();
    }

    StoreCompareAndSwapReply swap(const caf::actor &client, const std::string &value,
                                  std::int64_t expected, TimePoint deadline = {})
    {
        StoreCompareAndSwapReply reply;
        self->request(client, seconds(5), StoreCompareAndSwap{"/k", value, expected, deadline})
            .receive([&](StoreCompareAndSwapReply &answer) { reply = std::move(answer); },
                     [](const caf::error &) { BOOST_ERROR("no answer"); });
        return reply;
    }

    StoreReadReply read(const caf::actor &client)
    {
        StoreReadReply reply;
        self->request(client, seconds(5), StoreRead{"/", true})
            .receive([&](StoreReadReply &answer) { reply = std::move(answer); },
                     [](const caf::error &) { BOOST_ERROR("no answer"); });
        return reply;
    }

    /// Waits until the watcher reports \a value. Status messages in between are skipped.
    bool awaitValue(const std::string &value)
    {
        bool found = false;
        bool waiting = true;
        self->receive_while(waiting)(
            [&](const StoreChanged &message) {
                for (const auto &change : message.values)
                    found = found || change.value == value;
                waiting = !found;
            },
            [&](const StoreWatchStatus &) {}, caf::after(seconds(5)) >> [&] { waiting = false; });
        return found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(registry, Fixture)

// Guards against subscribers that miss all changes after a restart of the watcher's actor.
BOOST_AUTO_TEST_CASE(subscriptions_survive_a_restart_of_the_watcher)
{
    const auto store = client(settings());
    const auto subscribers = std::make_shared<StoreSubscribers>();
    const auto failing = watcher(subscribers);
    self->send(failing, StoreSubscribe{"/k", caf::actor_cast<caf::actor>(self)});
    const auto first = swap(store, "1", 0);
    BOOST_TEST(awaitValue("1"));
    self->send_exit(failing, caf::exit_reason::unhandled_exception);
    self->wait_for(failing);
    const auto second = swap(store, "2", first.revision);
    watcher(subscribers);
    BOOST_TEST(awaitValue("2"));
    swap(store, "3", second.revision);
    BOOST_TEST(awaitValue("3"));
}

// Guards against a conflict that is taken for a success, or the reverse.
BOOST_AUTO_TEST_CASE(swap_reports_success_and_conflict)
{
    const auto store = client(settings());
    const auto first = swap(store, "1", 0);
    BOOST_REQUIRE((first.status == SwapStatus::Swapped));
    const auto second = swap(store, "2", 0);
    BOOST_REQUIRE((second.status == SwapStatus::Conflict));
    BOOST_TEST((second.current.value() == KeyValue{"/k", "1", first.revision}));
    BOOST_TEST((swap(store, "2", first.revision).status == SwapStatus::Swapped));
}

// Guards against a swap that is repeated, or called refused, although it may have taken effect.
BOOST_AUTO_TEST_CASE(lost_answer_is_unknown_and_the_swap_is_sent_once)
{
    auto twice = settings();
    twice.endpoints.push_back(store.endpoint());
    const auto client = this->client(twice);
    store.fault("lose-next-txn-answer");
    BOOST_TEST((swap(client, "1", 0).status == SwapStatus::Unknown));
    const auto reply = read(client);
    BOOST_REQUIRE(reply.values.size() == 1U);
    BOOST_TEST(reply.revision == 2);
}

// Guards against "unknown" for a swap that never left this process, and against a client that
// doesn't find the working endpoint.
BOOST_AUTO_TEST_CASE(refused_connection_is_refused_or_goes_to_the_next_endpoint)
{
    StoreClientSettings closed = settings();
    closed.endpoints = {{"127.0.0.1", 1}};
    const auto refused = client(closed);
    BOOST_TEST((swap(refused, "1", 0).status == SwapStatus::Refused));
    BOOST_TEST(!read(refused).ok);
    closed.endpoints.push_back(store.endpoint());
    const auto working = client(closed);
    BOOST_TEST((swap(working, "1", 0).status == SwapStatus::Swapped));
    BOOST_TEST((swap(working, "2", 0, TimePoint(Duration(1))).status == SwapStatus::Refused));
}

// Guards against an unbounded wait for a store that accepts connections and never answers.
BOOST_AUTO_TEST_CASE(hanging_store_is_unknown_within_the_timeout)
{
    store.fault("down", R"({"mode": "hang", "durationMs": 700})");
    const auto start = clock->now();
    const auto client = this->client(settings());
    BOOST_TEST((swap(client, "1", 0).status == SwapStatus::Unknown));
    BOOST_TEST((clock->now() - start < milliseconds(650)));
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(read(client).values.empty());
}

// Guards against changes that are lost with a dropped, silent or compacted watch, or in an outage.
BOOST_AUTO_TEST_CASE(watcher_reports_changes_after_each_kind_of_loss)
{
    const auto store = client(settings());
    watcher();
    swap(store, "1", 0);
    BOOST_TEST(awaitValue("1"));
    this->store.fault("drop-watches");
    swap(store, "2", 2);
    BOOST_TEST(awaitValue("2"));
    this->store.fault("silence-watches", R"({"durationMs": 3000})");
    const auto start = clock->now();
    swap(store, "3", 3);
    BOOST_TEST(awaitValue("3"));
    BOOST_TEST((clock->now() - start < milliseconds(1500)));
    this->store.fault("silence-watches", R"({"durationMs": 60})");
    swap(store, "4", 4);
    this->store.request("POST", "/v3/kv/compaction", R"({"revision": "5"})");
    BOOST_TEST(awaitValue("4"));
    this->store.fault("down", R"({"mode": "refuse", "durationMs": 100})");
    std::this_thread::sleep_for(milliseconds(150));
    swap(store, "5", 5);
    BOOST_TEST(awaitValue("5"));
}

// Guards against a second subscriber that never learns the present keys.
BOOST_AUTO_TEST_CASE(later_subscriber_gets_the_present_keys)
{
    const auto store = client(settings());
    swap(store, "1", 0);
    const auto watching = watcher();
    BOOST_TEST(awaitValue("1"));
    self->send(watching, StoreSubscribe{"/k", caf::actor_cast<caf::actor>(self)});
    BOOST_TEST(awaitValue("1"));
}

// Guards against a list that is lost, or repeated without change, when the service is down.
BOOST_AUTO_TEST_CASE(vm_list_poller_keeps_the_last_list)
{
    StandinProcess list(STANDIN_VMLIST);
    VmListPollerSettings polling;
    polling.endpoint = list.endpoint();
    polling.interval = milliseconds(20);
    actors.push_back(system.spawn<VmListPoller, caf::detached>(polling, clock));
    const std::string start = R"([{"vm":"a","host":"h","dataCentre":"d","role":"proxy","state":")";
    list.request("PUT", "/v1/vms", start + "live\"}]");
    self->send(actors.back(), SubscribeVmList{caf::actor_cast<caf::actor>(self)});
    const auto next = [&] {
        std::vector<VmEntry> entries;
        self->receive([&](const VmListChanged &changed) { entries = changed.entries; },
                      caf::after(seconds(5)) >> [] { BOOST_ERROR("no list"); });
        return entries;
    };
    auto entries = next();
    if (entries.empty())
        entries = next();
    BOOST_TEST(!entries.at(0).leaving);
    list.fault("down", R"({"durationMs": 100})");
    std::this_thread::sleep_for(milliseconds(150));
    list.request("PUT", "/v1/vms", start + "leaving\"}]");
    BOOST_TEST(next().at(0).leaving);
}

// Guards against a branch that doesn't start, and a child that doesn't answer a state dump.
BOOST_AUTO_TEST_CASE(registry_children_run_under_a_supervisor)
{
    RegistrySettings branch;
    branch.store = settings();
    branch.vmList.endpoint = store.endpoint();
    const auto supervisor =
        system.spawn<Supervisor>("registry", registryChildren(branch, clock), clock);
    self->request(supervisor, seconds(5), StateDumpRequest{})
        .receive(
            [](const StateDump &dump) {
                const auto &children = dump.state.at("children").as_object();
                BOOST_TEST(children.at("storeClient").at("state").at("calls") == 0);
                BOOST_TEST(children.at("storeWatcher").at("state").as_object().empty());
                BOOST_TEST(children.at("vmListPoller").at("state").at("loaded") == false);
            },
            [](const caf::error &) { BOOST_ERROR("no dump"); });
    self->monitor(supervisor);
    self->send(supervisor, DrainRequest{});
    self->receive([](const caf::down_msg &message) { BOOST_TEST(!message.reason); },
                  caf::after(seconds(5)) >> [] { BOOST_ERROR("the branch didn't drain"); });
}

BOOST_AUTO_TEST_SUITE_END()
