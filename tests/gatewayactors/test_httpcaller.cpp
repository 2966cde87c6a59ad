#include "gateway/gateway.h"
#include "gateway/httpcaller.h"
#include "gatewayactors/slowserver.h"

#include <boost/test/unit_test.hpp>
#include <caf/io/middleman.hpp>
#include <caf/scoped_actor.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

struct CallerFixture
{
    CallerFixture()
        : config()
        , system((configureGateway(config), config))
        , self(system)
    {
    }

    HttpCallResult call(std::uint16_t port, Duration timeout)
    {
        const auto caller = system.middleman().spawn_broker(
            &HttpCaller::run, HttpEndpoint{"127.0.0.1", port}, std::make_shared<BootClock>());
        HttpCall request{"GET", "/", {}, {}, timeout};
        HttpCallResult result;
        self->request(caller, 10s, HttpCallRequest{std::move(request)})
            .receive([&](HttpCallResult &answer) { result = std::move(answer); },
                     [](const caf::error &) { BOOST_ERROR("the HttpCaller did not answer"); });
        caf::anon_send_exit(caller, caf::exit_reason::user_shutdown);
        return result;
    }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::scoped_actor self;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_caller, CallerFixture)

// Guards against a large answer on a slow link being aborted and requested again without end. At
// 2 Mbit/s a configuration of 1,900 routes takes longer than the timeout of a watch, and a proxy
// that never received it served no requests.
BOOST_AUTO_TEST_CASE(answer_that_arrives_slowly_is_taken)
{
    SlowServer server({"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", "ab", "cd", "ef", "gh"},
                      200ms);
    const auto result = call(server.port(), 300ms);
    BOOST_TEST(result.response.status == 200U);
    BOOST_TEST(result.response.body == "abcdefgh");
}

// Guards against a call that waits forever for the rest of an answer.
BOOST_AUTO_TEST_CASE(answer_that_stops_arriving_is_given_up)
{
    SlowServer server({"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", "ab"}, 50ms);
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(call(server.port(), 300ms).response.status == 0U);
    // The timeout, and at most twice the longest pause within an answer.
    BOOST_TEST((std::chrono::steady_clock::now() - start < 2500ms));
}

// Guards against a call that waits for an answer that never begins.
BOOST_AUTO_TEST_CASE(call_without_an_answer_ends_at_its_timeout)
{
    SlowServer server({}, 0ms);
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(call(server.port(), 300ms).response.status == 0U);
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1000ms));
}

BOOST_AUTO_TEST_SUITE_END()
