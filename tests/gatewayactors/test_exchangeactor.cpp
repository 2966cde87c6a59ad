#include "gateway/gateway.h"
#include "support/freeports.h"
#include "wire/exchangecodec.h"

#include <boost/leaf/handle_errors.hpp>

#include <boost/test/unit_test.hpp>
#include <caf/io/middleman.hpp>
#include <caf/scoped_actor.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

/// Two proxies on the loopback range that exchange watermarks; the test plays their other actors.
struct ExchangeActorFixture
{
    ExchangeActorFixture()
        : system((configureGateway(config), config))
        , self(system)
    {
        const auto ports = freePorts(2);
        members = {{"front-1", "nord", "127.0.0.1", ports[0]},
                   {"front-2", "sud", "127.0.0.1", ports[1]}};
        for (const auto &member : members) {
            ExchangeContext context;
            context.self = member;
            context.incarnation = 1;
            context.directory = self;
            context.groups = self;
            context.clock = clock;
            actors.push_back(
                system.middleman().spawn_broker(&ExchangeActor::run, std::move(context)));
        }
        for (const auto &actor : actors) {
            self->receive([](DirectoryRequest) {});
            self->send(actor, FleetChanged{members});
        }
    }
    ~ExchangeActorFixture()
    {
        for (const auto &actor : actors)
            self->send_exit(actor, caf::exit_reason::user_shutdown);
        self->wait_for(actors);
    }

    /// Lets the first proxy observe positions until the second one has heard \a wanted.
    bool hears(LogPosition wanted)
    {
        const auto end = clock->now() + 5s;
        bool heard = false;
        while (!heard && clock->now() < end) {
            askedAt = clock->now();
            self->send(actors[0], WatermarkObserved{{"bookings", {1, wanted}, askedAt}});
            self->receive(
                [&](const WatermarksHeard &message) {
                    last = message.watermarks.front();
                    heard = last.position.lsn == wanted;
                },
                caf::after(200ms) >> [] {});
        }
        return heard;
    }

    /// Sends \a bytes to the second proxy from a socket bound to \a host.
    void sendFrom(const char *host, std::span<const char> bytes)
    {
        const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in from{};
        from.sin_family = AF_INET;
        ::inet_pton(AF_INET, host, &from.sin_addr);
        sockaddr_in to = from;
        BOOST_REQUIRE(::bind(socket, reinterpret_cast<sockaddr *>(&from), sizeof(from)) == 0);
        ::inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
        to.sin_port = htons(members[1].port);
        ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&to),
                 sizeof(to));
        ::close(socket);
    }

    boost::json::value state(std::size_t actor)
    {
        boost::json::value state;
        self->request(actors[actor], 5s, StateDumpRequest{})
            .receive([&](const StateDump &dump) { state = dump.state; }, [](const caf::error &) {});
        return state;
    }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::scoped_actor self;
    std::shared_ptr<const Clock> clock = std::make_shared<BootClock>();
    std::vector<FleetMember> members;
    std::vector<caf::actor> actors;
    SharedWatermark last;
    TimePoint askedAt;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(exchange_actor, ExchangeActorFixture)

// Guards against proxies that don't hear each other, or date what they hear too late.
BOOST_AUTO_TEST_CASE(position_reaches_the_other_proxy_with_a_time_not_later_than_the_question)
{
    BOOST_TEST(hears(120));
    BOOST_TEST(last.service == "bookings");
    BOOST_TEST((last.sentAt <= askedAt));
    BOOST_TEST((last.sentAt >= askedAt - 1s));
}

// Guards against datagrams that cost more than themselves: what is malformed, too long, empty, or
// claims to be of a proxy with another address is dropped, and the exchange goes on.
BOOST_AUTO_TEST_CASE(bad_datagrams_are_dropped)
{
    BOOST_REQUIRE(hears(120));
    sendFrom("127.0.0.1", std::string_view("not a message"));
    sendFrom("127.0.0.1", std::string_view(""));
    sendFrom("127.0.0.1", std::string(9000, 'x'));
    ExchangeMessage forged;
    forged.sender = "front-1";
    forged.incarnation = 1;
    forged.watermarks = {{"bookings", {9, 1}, clock->now()}};
    const auto bytes = boost::leaf::try_handle_all([&] { return encodeExchangeMessage(forged); },
                                                   [] { return std::string(); });
    sendFrom("127.0.0.9", bytes);
    BOOST_TEST(hears(121));
    const auto dump = state(1);
    BOOST_TEST(dump.at("malformed").to_number<std::int64_t>() >= 1);
    BOOST_TEST(dump.at("misaddressed").to_number<std::int64_t>() == 1);
    BOOST_TEST(dump.at("listening").as_bool());
}

BOOST_AUTO_TEST_SUITE_END()
