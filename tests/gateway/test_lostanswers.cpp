#include "gateway/platformfleet.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace shallotwalk::test;
using namespace std::chrono_literals;

namespace {

constexpr auto lostWrite = "QUERY lost1 WRITE item data\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(lost_answers)

// Guards against a write that runs twice, or is refused though it is committed: its answer is lost,
// and the server, whose slots are taken, answers the proxy's next command on the connection with an
// error.
BOOST_AUTO_TEST_CASE(write_runs_once_when_its_answer_is_lost_at_a_busy_server)
{
    PlatformFleet fleet(1);
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("WRITE item first").ok());
    fleet.fault("lose_answers", R"({"id": "db-1", "how": "go_on"})");
    client->send(lostWrite);
    std::this_thread::sleep_for(50ms);
    fleet.fault("busy", R"({"id": "db-1", "on": true})");
    std::this_thread::sleep_for(600ms);
    fleet.fault("busy", R"({"id": "db-1", "on": false})");
    const auto answer = client->receive();
    BOOST_TEST(answer.error.starts_with("INDOUBT"), answer.error);
    BOOST_TEST(fleet.logEntries("lost1") == 1U);
    BOOST_TEST(fleet.leader() == "db-1");
    BOOST_TEST(client->query("WRITE item last").ok());
}

// Guards against an answer that is made of a cut one and the next: the signature of a write without
// its end, followed by an error.
BOOST_AUTO_TEST_CASE(answer_that_is_cut_off_is_not_completed_by_the_next)
{
    PlatformFleet fleet(1);
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("WRITE item first").ok());
    fleet.fault("lose_answers", R"({"id": "db-1", "how": "cut"})");
    client->send(lostWrite);
    std::this_thread::sleep_for(50ms);
    fleet.fault("busy", R"({"id": "db-1", "on": true})");
    std::this_thread::sleep_for(600ms);
    fleet.fault("busy", R"({"id": "db-1", "on": false})");
    BOOST_TEST(client->receive().error.starts_with("INDOUBT"));
    BOOST_TEST(fleet.logEntries("lost1") == 1U);
}

// Guards against a session that never gets an answer when a server stays silent on a connection
// after a lost answer.
BOOST_AUTO_TEST_CASE(write_is_in_doubt_at_a_server_that_falls_silent_on_its_connection)
{
    PlatformFleet fleet(1);
    const auto client = fleet.client(0, "rounds");
    BOOST_REQUIRE(client->query("WRITE item first").ok());
    fleet.fault("lose_answers", R"({"id": "db-1", "how": "silence"})");
    client->send(lostWrite);
    BOOST_TEST(client->receive().error.starts_with("INDOUBT"));
    BOOST_TEST(fleet.logEntries("lost1") == 1U);
    BOOST_TEST(fleet.leader() == "db-1");
    BOOST_TEST(client->query("READ item").rows.at(0) == "data");
}

BOOST_AUTO_TEST_SUITE_END()
