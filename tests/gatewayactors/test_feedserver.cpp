#include "gateway/gateway.h"
#include "support/printrevision.h"

#include <boost/test/unit_test.hpp>
#include <caf/io/middleman.hpp>
#include <caf/scoped_actor.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

/// A FeedServer whose directory and followers are played by the test.
struct FeedServerFixture
{
    FeedServerFixture()
        : system((configureGateway(config), config))
        , self(system)
    {
        FeedServerContext context;
        context.clock = std::make_shared<BootClock>();
        context.directory = self;
        context.holdTime = 300ms;
        context.heldLimit = 2;
        server = system.middleman().spawn_broker(&FeedServer::run, std::move(context));
        self->receive([](DirectoryRequest) {});
    }
    ~FeedServerFixture()
    {
        self->send_exit(server, caf::exit_reason::user_shutdown);
        self->wait_for(server);
    }

    static FeedAsked ask(std::int64_t revision)
    {
        FeedRequest request;
        request.id = 7;
        request.records.revision = revision;
        request.hold = true;
        request.watchConnected = true;
        return {request};
    }

    FeedReply answerTo(const FeedAsked &asked)
    {
        FeedReply answer;
        self->request(server, 5s, asked)
            .receive([&](const FeedAnswered &answered) { answer = answered.reply; },
                     [](const caf::error &) { BOOST_ERROR("no answer"); });
        return answer;
    }

    void load() { self->send(server, FeedLoaded{{{"a", "1", 4}, {"b", "2", 5}}, 5}); }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::scoped_actor self;
    caf::actor server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(feed_server, FeedServerFixture)

// Guards against followers that wait for a proxy that doesn't watch the store.
BOOST_AUTO_TEST_CASE(requests_are_refused_while_the_store_is_not_watched)
{
    BOOST_TEST((answerTo(ask(0)).answer == FeedAnswer::Refused));
    load();
    BOOST_TEST((answerTo(ask(0)).answer == FeedAnswer::Watching));
    self->send(server, FeedStopped{});
    const auto refusal = answerTo(ask(5));
    BOOST_TEST((refusal.answer == FeedAnswer::Refused));
    BOOST_TEST(refusal.id == 7U);
}

// Guards against changes that wait until the hold time is over.
BOOST_AUTO_TEST_CASE(held_request_is_answered_by_a_change)
{
    load();
    auto held = self->request(server, 5s, ask(5));
    self->send(server, FeedChanged{{{{"b", "", 6}, true}}, 6});
    held.receive(
        [](const FeedAnswered &answered) {
            const auto &page = answered.reply.records;
            BOOST_REQUIRE(page.changes.size() == 1U);
            BOOST_TEST(page.changes[0].entry.key == "b");
            BOOST_TEST(page.changes[0].deleted);
            BOOST_TEST(page.next.revision == 6);
        },
        [](const caf::error &) { BOOST_ERROR("no answer"); });
}

// Guards against followers that take entries as removed although the watcher has lost the store.
BOOST_AUTO_TEST_CASE(lost_watch_is_told_at_once)
{
    load();
    auto held = self->request(server, 5s, ask(5));
    self->send(server, FeedConnected{false});
    held.receive(
        [](const FeedAnswered &answered) {
            BOOST_TEST((answered.reply.answer == FeedAnswer::WatchLost));
        },
        [](const caf::error &) { BOOST_ERROR("no answer"); });
}

// Guards against held requests without bound in time or number.
BOOST_AUTO_TEST_CASE(held_requests_end)
{
    load();
    auto first = self->request(server, 5s, ask(5));
    auto second = self->request(server, 5s, ask(5));
    // A third one is over the limit and is answered at once.
    const auto asked = std::chrono::steady_clock::now();
    BOOST_TEST(answerTo(ask(5)).records.changes.empty());
    BOOST_TEST((std::chrono::steady_clock::now() - asked < 250ms));
    const auto isEmpty = [](const FeedAnswered &answered) {
        BOOST_TEST(answered.reply.records.changes.empty());
    };
    const auto noAnswer = [](const caf::error &) { BOOST_ERROR("no answer"); };
    first.receive(isEmpty, noAnswer);
    second.receive(isEmpty, noAnswer);
}

BOOST_AUTO_TEST_SUITE_END()
