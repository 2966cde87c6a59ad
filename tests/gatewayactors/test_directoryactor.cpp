#include "fakestoreprotocol.h"
#include "gateway/gateway.h"
#include "platform/platform.h"

#include <boost/leaf/handle_errors.hpp>

#include <boost/test/unit_test.hpp>
#include <caf/io/middleman.hpp>
#include <caf/scoped_actor.hpp>

#include <atomic>

namespace shallotwalk::test {

/// An answer that a caller gives after a delay.
struct LateAnswer
{
    caf::typed_response_promise<HttpCallResult> promise;
    HttpCallResult result;
};

} // namespace shallotwalk::test

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::test::LateAnswer)

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

/// A store that holds the entries of five proxies of one data centre.
class FleetStoreProtocol : public FakeStoreProtocol
{
public:
    Result<StorePage> decodePage(const HttpResponse &) const override
    {
        StorePage page;
        page.revision = 10;
        for (int i = 1; i <= 5; ++i) {
            const FleetMember member{"front-" + std::to_string(i), "nord", "127.0.0.1", 7440};
            page.items.push_back(
                {std::string(proxiesPrefix) + member.vm, encodeFleetEntry(member), i});
        }
        return page;
    }
    Result<StoreChanges> decodeChanges(const HttpResponse &) const override
    {
        StoreChanges changes;
        changes.revision = 10;
        return changes;
    }
};

/// What the callers of the actor under test get and answer.
struct Calls
{
    std::atomic<int> watches{0};
    std::atomic<int> asked{0};
    std::atomic<FeedAnswer> answer{FeedAnswer::Watching};
};

/// Stands for all three callers: the store answers each call, a watch after 100 ms, and the
/// watchers answer after 100 ms what the test has set.
caf::behavior fakeCaller(caf::event_based_actor *self, std::shared_ptr<Calls> calls)
{
    return {
        [=](const HttpCallRequest &request) -> caf::result<HttpCallResult> {
            const bool feed = request.call.target == feedPath;
            if (request.call.method != "watch" && !feed)
                return HttpCallResult{};
            auto promise = self->make_response_promise<HttpCallResult>();
            HttpCallResult result;
            if (feed) {
                ++calls->asked;
                boost::leaf::try_handle_all(
                    [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(asked, decodeFeedRequest(request.call.body));
                        FeedReply reply;
                        reply.id = asked.id;
                        reply.answer = calls->answer;
                        reply.records.next = asked.records;
                        BOOST_LEAF_ASSIGN(result.response.body, encodeFeedBody(reply));
                        return {};
                    },
                    [] {});
            } else {
                ++calls->watches;
            }
            self->delayed_send(self, 100ms, test::LateAnswer{promise, std::move(result)});
            return promise;
        },
        [](test::LateAnswer &late) { late.promise.deliver(std::move(late.result)); },
    };
}

/// A DirectoryActor of a proxy that isn't among the two watchers of its data centre.
struct DirectoryActorFixture
{
    DirectoryActorFixture()
        : system((configureGateway(config), config))
        , self(system)
    {
        std::vector<CandidateVm> members;
        for (int i = 1; i <= 5; ++i)
            members.push_back({"front-" + std::to_string(i), "nord"});
        const auto watchers = selectWatchers("nord", members);
        const auto follower =
            std::find_if(members.begin(), members.end(), [&](const CandidateVm &member) {
                return std::find(watchers.begin(), watchers.end(), member.vm) == watchers.end();
            });
        caller = system.spawn(fakeCaller, calls);
        DirectoryContext context;
        context.self = {follower->vm, "nord", "127.0.0.1", 7440};
        context.protocols = platform::protocols();
        context.protocols.store = std::make_shared<FleetStoreProtocol>();
        context.watchCaller = context.storeCaller = context.feedCaller = caller;
        context.feed = context.groups = context.exchange = self;
        context.clock = std::make_shared<BootClock>();
        context.source = DirectorySourceSettings::within(3s);
        directory = system.middleman().spawn_broker(&DirectoryActor::run, std::move(context));
    }
    ~DirectoryActorFixture()
    {
        for (const auto &actor : {directory, caller})
            self->send_exit(actor, caf::exit_reason::user_shutdown);
        self->wait_for(directory, caller);
    }

    /// Value of a metric without labels.
    int metric(const std::string &name)
    {
        std::string text;
        self->request(directory, 5s, MetricsRequest{})
            .receive([&](const MetricsText &metrics) { text = '\n' + metrics.text; },
                     [](const caf::error &) {});
        const auto found = text.find('\n' + name + ' ');
        return found == std::string::npos ? -1 : std::stoi(text.substr(found + name.size() + 2));
    }

    bool becomes(const std::string &name, int value)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (metric(name) != value && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(20ms);
        return metric(name) == value;
    }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::scoped_actor self;
    std::shared_ptr<Calls> calls = std::make_shared<Calls>();
    caf::actor caller;
    caf::actor directory;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(directory_actor, DirectoryActorFixture)

// Guards against calls to the store by a proxy whose watchers answer.
BOOST_AUTO_TEST_CASE(follower_does_not_watch_the_store)
{
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(50ms);
    BOOST_TEST(calls->watches == 0);
    BOOST_TEST(calls->asked > 2);
    BOOST_TEST(metric("shallotwalk_store_watching") == 0);
}

// Guards against a proxy that takes the store for lost, and so keeps servers that have gone,
// because its watchers have lost it, although its own watch of the store works.
BOOST_AUTO_TEST_CASE(outage_of_the_watchers_is_none_of_a_proxy_that_watches_itself)
{
    calls->answer = FeedAnswer::WatchLost;
    BOOST_REQUIRE(becomes("shallotwalk_store_watching", 1));
    BOOST_REQUIRE(becomes("shallotwalk_store_available", 1));
    const int asked = calls->asked;
    int unavailable = 0;
    while (calls->asked < asked + 5) {
        unavailable += metric("shallotwalk_store_available") == 0 ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    BOOST_TEST(unavailable == 0);
    calls->answer = FeedAnswer::Watching;
    BOOST_TEST(becomes("shallotwalk_store_watching", 0));
}

BOOST_AUTO_TEST_SUITE_END()
