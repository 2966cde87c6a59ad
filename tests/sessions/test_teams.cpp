#include "sessions/groupfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace shallotwalk;

namespace {

KeyDigest key(std::uint8_t value)
{
    KeyDigest digest;
    digest.bytes.fill(value);
    return digest;
}

std::shared_ptr<const TeamDirectory> directory(std::vector<Team> teams)
{
    return std::make_shared<const TeamDirectory>(std::move(teams));
}

/// Tables with one route, which may be open to callers without a key.
std::shared_ptr<Tables> tables(std::shared_ptr<const TeamDirectory> teams, bool anonymous = false)
{
    auto tables = std::make_shared<Tables>();
    Route route;
    route.name = "lookup";
    route.callers = {"*"};
    route.database = "slots";
    route.pool = "bookings";
    route.anonymous = anonymous;
    tables->routes = {route};
    tables->teams = std::move(teams);
    return tables;
}

SessionStep read(ClientSession &session, const Router &router)
{
    static RequestNumber last = 0;
    return session.handle({"id", StatementKind::Read, true, {}, "1a4"}, router, ++last,
                          TimePoint{std::chrono::seconds(1000)});
}

} // namespace

BOOST_AUTO_TEST_SUITE(teams)

// Guards against a configuration with an ambiguous entry that admits callers of the wrong team.
BOOST_AUTO_TEST_CASE(ambiguous_teams_and_keys_admit_nobody)
{
    const TeamDirectory teams({{"dock", {key(1), key(2)}},
                               {"desk", {key(2), key(3)}},
                               {"twice", {key(4)}},
                               {"twice", {key(5)}},
                               {"none", {}}});
    BOOST_REQUIRE(teams.findByKey(key(1)) != nullptr);
    BOOST_TEST(teams.findByKey(key(1))->name == "dock");
    BOOST_TEST(teams.findByKey(key(3))->name == "desk");
    for (const std::uint8_t refused : {2, 4, 5, 6})
        BOOST_TEST((teams.findByKey(key(refused)) == nullptr));
    BOOST_TEST(teams.problems().size() == 4U);
}

// Guards against a client that is served without a valid key.
BOOST_AUTO_TEST_CASE(sessions_need_a_key_unless_the_route_is_open)
{
    const auto teams = directory({{"dock", {key(1)}}});
    const Router router(tables(teams));
    BOOST_TEST(!ClientSession(1, "slots", key(1)).refusal(router).has_value());
    const auto unknown = ClientSession(2, "slots", key(9)).refusal(router);
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST((unknown->error == AnswerCode::NotPermitted));
    BOOST_TEST((ClientSession(3, "slots").refusal(router)->error == AnswerCode::NotPermitted));
    BOOST_TEST(
        (ClientSession(4, "rounds", key(1)).refusal(router)->error == AnswerCode::NoDatabase));
    BOOST_TEST(!ClientSession(5, "slots").refusal(Router(tables(teams, true))).has_value());
    BOOST_TEST(!ClientSession(6, "slots").refusal(Router(tables(nullptr))).has_value());
}

// Guards against a key that goes on to work in sessions that were open when it was taken away, and
// against one that is refused within the transaction that it was valid for.
BOOST_AUTO_TEST_CASE(key_that_was_taken_away_ends_with_the_transaction)
{
    const Router before(tables(directory({{"dock", {key(1)}}})));
    const Router after(tables(directory({{"dock", {key(2)}}})));
    ClientSession session(1, "slots", key(1));
    const auto first = read(session, before);
    BOOST_REQUIRE(first.request.has_value());
    BOOST_TEST(first.request->team.name == "dock");
    session.complete({});
    session.handle({"id", StatementKind::Begin}, before, 100, {});
    BOOST_TEST(read(session, after).request.has_value());
    GroupAnswer open;
    open.answer.state = TransactionState::Open;
    session.complete(open);
    BOOST_TEST(session.handle({"id", StatementKind::Commit}, after, 101, {}).request.has_value());
    session.complete({});
    const auto refused = read(session, after);
    BOOST_REQUIRE(refused.answer.has_value());
    BOOST_TEST((refused.answer->error == AnswerCode::NotPermitted));
}

struct TeamFixture : GroupFixture
{
    TeamFixture() { scheduler.setConnectionsPerTeam(true); }

    void submit(RequestNumber number, const std::string &team)
    {
        auto request = this->request(number, StatementKind::Read);
        request.team.name = team;
        scheduler.submit(request, now);
    }

    /// Teams of the connections to "p" on which commands were sent, one entry for each sending.
    std::vector<std::string> teamsServed()
    {
        std::vector<std::string> teams;
        for (const auto &sent : takeSent("p"))
            teams.push_back(port.teamOf.at(sent.key));
        return teams;
    }
};

// Guards against a statement that a server runs on a connection of another team.
BOOST_FIXTURE_TEST_CASE(statement_runs_only_on_a_connection_of_its_team, TeamFixture)
{
    submit(1, "dock");
    submit(2, "desk");
    BOOST_TEST(takeSent("p").empty());
    connectAll();
    const std::vector<std::string> both{"dock", "desk"};
    BOOST_TEST(teamsServed() == both, boost::test_tools::per_element());
}

// Guards against a team that is refused while connections of others are idle: the one that has
// been idle longest is closed and gives its place.
BOOST_FIXTURE_TEST_CASE(idle_connection_of_another_team_gives_way, TeamFixture)
{
    for (const std::string team : {"a", "b", "c"}) {
        submit(team[0], team);
        connectAll();
        serve("p");
        now += 10ms;
    }
    const auto closedBefore = port.closed.size();
    submit(1, "d");
    connectAll();
    BOOST_TEST(port.closed.size() == closedBefore + 1);
    const std::vector<std::string> served{"d"};
    BOOST_TEST(teamsServed() == served, boost::test_tools::per_element());
}

// Guards against a request that is never answered because the only idle connection is beyond a
// share that has shrunk: it takes that connection's place.
BOOST_FIXTURE_TEST_CASE(idle_connection_beyond_the_share_gives_way, TeamFixture)
{
    for (const std::string team : {"a", "b", "c"}) {
        submit(team[0], team);
        connectAll();
    }
    serve("p");
    submit(1, "a");
    submit(2, "b");
    ConnectionAllotment allotment;
    allotment.share = 2;
    allotment.burst = 3;
    scheduler.setConnections(allotment, now);
    takeSent("p");
    submit(3, "d");
    connectAll();
    const std::vector<std::string> served{"d"};
    BOOST_TEST(teamsServed() == served, boost::test_tools::per_element());
}

// Guards against a request that is lost, or answered never, when its connection can't be opened.
BOOST_FIXTURE_TEST_CASE(request_survives_a_refused_connection_of_its_team, TeamFixture)
{
    submit(1, "dock");
    const auto key = port.opened.back();
    BOOST_TEST(port.teamOf.at(key) == "dock");
    reply(key, error(AnswerCode::TooManyClients));
    BOOST_TEST(port.answerCount[1] == 0);
    for (int i = 0; i < 30 && port.answerCount[1] == 0; ++i) {
        wait(20ms);
        connectAll();
        serve("p");
    }
    BOOST_TEST(port.answerCount[1] == 1);
    BOOST_TEST(!port.answers.at(1).answer.error.has_value());
}

// Guards against a session that ends while its connection is being opened: nothing runs for it, and
// its place in the queue is free again.
BOOST_FIXTURE_TEST_CASE(connection_of_an_ended_session_serves_others_of_its_team, TeamFixture)
{
    submit(1, "dock");
    scheduler.endTransaction(1, now);
    BOOST_TEST((port.answers.at(1).answer.error == AnswerCode::Aborted));
    connectAll();
    BOOST_TEST(takeSent("p").empty());
    submit(2, "dock");
    const std::vector<std::string> served{"dock"};
    BOOST_TEST(teamsServed() == served, boost::test_tools::per_element());
}

// Guards against a request that is never answered: it was taken from its queue for the connection
// whose report had just shown that the server is the primary, and which was still taken.
BOOST_FIXTURE_TEST_CASE(request_runs_once_the_report_of_the_primary_is_handled, TeamFixture)
{
    ConnectionAllotment allotment; // One connection to each server, and no more for a moment.
    scheduler.setConnections(allotment, now);
    scheduler.setServers(std::vector{registration("p"), registration("r1"), registration("r2")},
                         now);
    wait(200ms);
    for (const std::string server : {"p", "r1", "r2"})
        serve(server);
    submit(1, "");
    for (int i = 0; i < 100 && port.answerCount[1] == 0; ++i) {
        wait(10ms);
        connectAll();
        serve("p", {1, 100}, true);
        serve("r1");
        serve("r2");
    }
    BOOST_REQUIRE(port.answerCount[1] == 1);
    BOOST_TEST(!port.answers.at(1).answer.error.has_value());
    BOOST_TEST(port.stranded.empty());
}

BOOST_AUTO_TEST_SUITE_END()
