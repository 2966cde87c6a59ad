#include "gateway/platformfleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace shallotwalk::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

/// A request that wasn't passed on may be cut so long after it was sent.
constexpr auto lossSlack = 200ms;

/// A proxy whose grace is 6 s and whose routes allow a statement 3 s.
struct ShutdownFixture
{
    void terminate()
    {
        ::kill(fleet.process(0).pid(), SIGTERM);
        terminatedAt = Clock::now();
    }

    PlatformFleet fleet{1};
    Clock::time_point terminatedAt;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shutdown, ShutdownFixture)

// Guards against a statement that is cut while a server runs it: an open transaction got statements
// in its second half of the grace, and the process ended before they could.
BOOST_AUTO_TEST_CASE(transaction_gets_no_statement_that_the_process_would_cut)
{
    fleet.fault("reads", R"({"ms": 2500, "rows": 1})");
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("BEGIN").ok());
    terminate();
    std::this_thread::sleep_until(terminatedAt + 600ms);
    BOOST_TEST(client->query("READ item").ok());
    std::this_thread::sleep_until(terminatedAt + 3150ms);
    const auto sentAt = Clock::now();
    const auto answer = client->query("READ item");
    BOOST_TEST((!answer.state.empty() || Clock::now() - sentAt < lossSlack));
    BOOST_TEST(fleet.process(0).waitForExit(6s));
}

// Guards against a statement without an answer: what was passed on in time and takes beyond the end
// of the process is answered before that.
BOOST_AUTO_TEST_CASE(statement_that_outlasts_the_grace_is_answered)
{
    fleet.fault("reads", R"({"ms": 2950, "rows": 1})");
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("BEGIN").ok());
    terminate();
    std::this_thread::sleep_until(terminatedAt + 2900ms);
    const auto answer = client->query("READ item");
    BOOST_TEST(answer.error.starts_with("ABORTED"), answer.error);
    std::this_thread::sleep_until(terminatedAt + 6s);
    BOOST_TEST(fleet.process(0).waitForExit(0ms));
}

// Guards against a transaction that is refused a statement in the half of the grace that it has.
BOOST_AUTO_TEST_CASE(transaction_has_the_first_half_of_the_grace)
{
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("BEGIN").ok());
    terminate();
    for (int i = 0; i < 29; ++i) {
        std::this_thread::sleep_until(terminatedAt + i * 100ms);
        BOOST_TEST(client->query("WRITE item data").ok());
    }
    BOOST_TEST(client->query("COMMIT").ok());
    BOOST_TEST(fleet.process(0).waitForExit(6s));
}

// Guards against an answer that is cut because the process ends before it has been sent.
BOOST_AUTO_TEST_CASE(process_ends_only_after_its_answers_have_been_sent)
{
    constexpr std::size_t rows = 24; // More than the kernel holds for a connection.
    const std::string data(1000000, 'x');
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("WRITE item " + data).ok());
    fleet.fault("reads", R"({"ms": 0, "rows": )" + std::to_string(rows) + "}");
    terminate();
    client->send("QUERY long READ item\r\n");
    // The client reads late, when nothing else keeps the process.
    std::this_thread::sleep_until(terminatedAt + 3500ms);
    const auto answer = client->receive();
    BOOST_TEST(answer.ok());
    BOOST_TEST(answer.rows.size() == rows);
    std::this_thread::sleep_until(terminatedAt + 6s);
    BOOST_TEST(fleet.process(0).waitForExit(0ms));
}

BOOST_AUTO_TEST_SUITE_END()
