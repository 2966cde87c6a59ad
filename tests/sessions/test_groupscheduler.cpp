#include "sessions/groupfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace shallotwalk;

namespace std {

ostream &operator<<(ostream &out, shallotwalk::CommandKind kind)
{
    return out << static_cast<int>(kind);
}

} // namespace std

namespace {

using Kinds = std::vector<CommandKind>;

bool sameKinds(const Kinds &left, const Kinds &right)
{
    return left == right;
}

/// Returns the id of the server that commands were sent to; empty unless they were sent once.
std::string onlyServer(const FakePort &port)
{
    return port.sent.size() == 1 ? port.serverOf.at(port.sent.front().key) : "";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(group_scheduler, GroupFixture)

// Guards against an outdated read at a server that is no longer the primary. A read that needs the
// primary runs in a transaction that isn't read-only, which such a server refuses.
BOOST_AUTO_TEST_CASE(read_that_needs_the_leader_runs_in_a_transaction)
{
    scheduler.submit(request(1, StatementKind::Read), now);
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Begin}));
    const auto begin = takeSent("p");
    reply(begin.front().key, successReply(TransactionState::Open));
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Read, CommandKind::Rollback}));
    const auto read = takeSent("p");
    reply(read.front().key, signedReply(TransactionState::Open));
    BOOST_TEST(port.answers.at(1).answer.signature == "signature");
    BOOST_TEST(!port.answers.at(1).committed);
    reply(read.front().key, successReply());
    BOOST_TEST(port.closed.empty());
}

// Guards against a statement that runs outside of its transaction. Servers run what follows a
// refused begin outside of any transaction.
BOOST_AUTO_TEST_CASE(nothing_is_sent_behind_a_begin_that_may_fail)
{
    auto first = request(1, StatementKind::Write);
    first.scope = RequestScope::BeginTransaction;
    scheduler.submit(first, now);
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Begin}));
    const auto begin = takeSent("p");
    reply(begin.front().key, error(AnswerCode::ReadOnly));
    for (const auto &sent : takeSent("p")) {
        for (const auto &command : sent.commands)
            BOOST_TEST((command.kind != CommandKind::Write));
    }
    BOOST_TEST(!port.answers.contains(1));
}

// Guards against stale reads: a read at a replica carries the position that the route's staleness
// limit demands.
BOOST_AUTO_TEST_CASE(replica_reads_demand_a_recent_position)
{
    sampleWatermark({1, 120});
    scheduler.submit(request(1, StatementKind::Read, 1500ms), now);
    BOOST_REQUIRE(port.sent.size() == 1);
    const auto &command = port.sent.front().commands.front();
    BOOST_TEST((command.kind == CommandKind::Read));
    BOOST_REQUIRE(command.after.has_value());
    BOOST_TEST((*command.after == Position{1, 120}));
}

// Guards against stale reads: without a recent position of the primary only the primary may answer.
BOOST_AUTO_TEST_CASE(without_a_recent_watermark_reads_go_to_the_leader)
{
    sampleWatermark();
    now += 5s;
    scheduler.submit(request(1, StatementKind::Read, 1500ms), now);
    BOOST_TEST(onlyServer(port) == "p");
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Begin}));
}

// Guards against a session that doesn't see its own commit.
BOOST_AUTO_TEST_CASE(reads_cover_the_commit_of_their_session)
{
    sampleWatermark({1, 120});
    auto read = request(1, StatementKind::Read, 1500ms);
    read.sessionPosition = {1, 130};
    scheduler.submit(read, now);
    BOOST_TEST((*port.sent.front().commands.front().after == Position{1, 130}));
}

// Guards against passing "lagging" to a client although the primary could answer.
BOOST_AUTO_TEST_CASE(lagging_replica_is_followed_by_the_primary)
{
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Read, 1500ms), now);
    const auto sent = port.sent;
    port.sent.clear();
    reply(sent.front().key, error(AnswerCode::Lagging));
    BOOST_TEST(!port.answers.contains(1));
    BOOST_REQUIRE(port.retriedRequests.size() == 1);
    BOOST_TEST((port.retriedRequests.front().code == AnswerCode::Lagging));
    BOOST_TEST(onlyServer(port) == "p");
    serve("p");
    BOOST_TEST(!port.answers.at(1).answer.error.has_value());
}

// Guards against a write that runs twice: a write whose reply was lost is never retried.
BOOST_AUTO_TEST_CASE(write_without_answer_is_in_doubt)
{
    scheduler.submit(request(1, StatementKind::Write), now);
    const auto key = takeSent("p").front().key;
    scheduler.connectionLost(key, "closed by the server", now);
    BOOST_TEST((port.answers.at(1).answer.error == AnswerCode::InDoubt));
    BOOST_TEST(takeSent("p").empty());
}

// Guards against a commit after a write that is retried, or answered twice, when its reply is lost.
BOOST_AUTO_TEST_CASE(commit_without_answer_is_in_doubt)
{
    auto write = request(1, StatementKind::Write);
    write.scope = RequestScope::BeginTransaction;
    scheduler.submit(write, now);
    serve("p");
    auto commit = request(2, StatementKind::Commit);
    commit.session = 1;
    commit.scope = RequestScope::InTransaction;
    scheduler.submit(commit, now);
    const auto key = takeSent("p").front().key;
    scheduler.connectionLost(key, "closed by the server", now);
    BOOST_TEST((port.answers.at(2).answer.error == AnswerCode::InDoubt));
    BOOST_TEST(port.answerCount.at(2) == 1);
}

// Guards against reporting success or "in doubt" when the reply to the commit of a transaction that
// wrote nothing is lost.
BOOST_AUTO_TEST_CASE(commit_of_a_transaction_that_only_read_is_aborted_without_doubt)
{
    auto read = request(1, StatementKind::Read);
    read.scope = RequestScope::BeginTransaction;
    scheduler.submit(read, now);
    serve("p");
    auto commit = request(2, StatementKind::Commit);
    commit.session = 1;
    commit.scope = RequestScope::InTransaction;
    scheduler.submit(commit, now);
    scheduler.connectionLost(takeSent("p").front().key, "closed by the server", now);
    BOOST_TEST((port.answers.at(2).answer.error == AnswerCode::Aborted));
}

// Guards against replies that are matched to the wrong commands: after a truncated reply the read
// is retried and its connection closed.
BOOST_AUTO_TEST_CASE(read_with_a_cut_answer_is_repeated)
{
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Read, 1500ms), now);
    const auto key = port.sent.front().key;
    port.sent.clear();
    auto cut = signedReply();
    cut.signature.clear();
    reply(key, cut);
    BOOST_TEST(!port.answers.contains(1));
    BOOST_TEST((port.closed == std::vector{key}));
    connectAll();
    wait(20ms);
    for (const auto *server : {"p", "r1", "r2"})
        serve(server);
    BOOST_TEST(!port.answers.at(1).answer.error.has_value());
}

// Guards against running statements of two clients in one transaction.
BOOST_AUTO_TEST_CASE(open_transaction_keeps_its_connection)
{
    auto first = request(1, StatementKind::Write);
    first.scope = RequestScope::BeginTransaction;
    scheduler.submit(first, now);
    const auto key = port.sent.front().key;
    serve("p");
    scheduler.submit(request(2, StatementKind::Write), now);
    connectAll();
    for (const auto &sent : port.sent)
        BOOST_TEST((sent.key != key));
    auto second = request(3, StatementKind::Write);
    second.session = 1;
    second.scope = RequestScope::InTransaction;
    port.sent.clear();
    scheduler.submit(second, now);
    BOOST_TEST((port.sent.front().key == key));
}

// Guards against silently continuing a transaction on another connection after its own was lost.
BOOST_AUTO_TEST_CASE(lost_transaction_is_not_continued)
{
    auto first = request(1, StatementKind::Write);
    first.scope = RequestScope::BeginTransaction;
    scheduler.submit(first, now);
    const auto key = port.sent.front().key;
    serve("p");
    scheduler.connectionLost(key, "closed by the server", now);
    auto second = request(2, StatementKind::Write);
    second.session = 1;
    second.scope = RequestScope::InTransaction;
    scheduler.submit(second, now);
    BOOST_TEST((port.answers.at(2).answer.error == AnswerCode::Aborted));
    BOOST_TEST((port.answers.at(2).answer.state == TransactionState::Failed));
}

BOOST_AUTO_TEST_CASE(idle_transaction_is_rolled_back)
{
    auto first = request(1, StatementKind::Write);
    first.scope = RequestScope::BeginTransaction;
    scheduler.submit(first, now);
    serve("p");
    wait(3100ms);
    BOOST_TEST(scheduler.openTransactions() == 0);
    const auto sent = kinds("p");
    BOOST_TEST((std::count(sent.begin(), sent.end(), CommandKind::Rollback) >= 1));
}

// Guards against session values of one client that are visible to another client's statement.
BOOST_AUTO_TEST_CASE(connection_gets_exactly_the_values_of_its_client)
{
    auto first = request(1, StatementKind::Write);
    first.values = std::make_shared<SessionValues>(SessionValues{{"zone", "nord"}});
    scheduler.submit(first, now);
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::SetValue, CommandKind::Write}));
    serve("p");
    scheduler.submit(request(2, StatementKind::Write), now);
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::ResetSession, CommandKind::Write}));
}

// Guards against errors from a server that no longer knows a prepared statement, for example after
// a restart under the same id.
BOOST_AUTO_TEST_CASE(forgotten_statement_is_prepared_again)
{
    auto execute = request(1, StatementKind::Execute);
    execute.prepared = PreparedStatement{false, "q2c"};
    scheduler.submit(execute, now);
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Prepare, CommandKind::Execute}));
    const auto key = takeSent("p").front().key;
    reply(key, successReply());
    reply(key, error(AnswerCode::NotPrepared));
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Prepare, CommandKind::Execute}));
}

// Guards against telling a client that its statement isn't prepared because a server has forgotten
// it and failed the transaction.
BOOST_AUTO_TEST_CASE(statement_forgotten_in_a_transaction_aborts_it)
{
    auto first = request(1, StatementKind::Write);
    first.scope = RequestScope::BeginTransaction;
    scheduler.submit(first, now);
    serve("p");
    auto execute = request(2, StatementKind::Execute);
    execute.session = 1;
    execute.scope = RequestScope::InTransaction;
    execute.prepared = PreparedStatement{false, "q2c"};
    scheduler.submit(execute, now);
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Prepare, CommandKind::Execute}));
    const auto key = takeSent("p").front().key;
    reply(key, successReply(TransactionState::Open));
    reply(key, error(AnswerCode::NotPrepared, TransactionState::Failed));
    BOOST_TEST((port.answers.at(2).answer.error == AnswerCode::Aborted));
    BOOST_TEST(sameKinds(kinds("p"), {CommandKind::Rollback}));
}

// Guards against replacing a primary that seems silent only because this process was suspended.
BOOST_AUTO_TEST_CASE(suspension_of_the_process_is_no_silence)
{
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Write), now);
    now += 4s;
    scheduler.tick(now);
    wait(200ms);
    BOOST_TEST(port.promotions.empty());
}

BOOST_AUTO_TEST_CASE(silent_primary_is_replaced_by_the_replica_that_received_most)
{
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Write), now);
    for (int i = 0; i < 70 && port.promotions.empty(); ++i) {
        wait(10ms);
        serve("r1", {1, 100});
        serve("r2", {1, 105});
    }
    BOOST_REQUIRE(port.promotions.size() == 1);
    BOOST_TEST(port.promotions.front().server == "r2");
    BOOST_TEST(port.promotions.front().reason == "primary_silent");
}

// Guards against a promotion by a proxy that is itself cut off from all servers.
BOOST_AUTO_TEST_CASE(nothing_is_promoted_when_all_servers_are_silent)
{
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Write), now);
    wait(3s);
    BOOST_TEST(port.promotions.empty());
}

// Guards against replacing a primary that the other proxies can still reach.
BOOST_AUTO_TEST_CASE(silent_primary_is_replaced_once_others_suspect_it_too)
{
    scheduler.setSuspicions({}, 4, now);
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Write), now);
    for (int i = 0; i < 70; ++i) {
        wait(10ms);
        serve("r1", {1, 100});
        serve("r2", {1, 105});
    }
    BOOST_TEST(port.promotions.empty());
    BOOST_REQUIRE(!port.suspicions.empty());
    BOOST_TEST(port.suspicions.front().first == "p");
    scheduler.setSuspicions({"p"}, 4, now);
    BOOST_TEST(port.promotions.size() == 1);
}

// Guards against clients that wait at this proxy although another proxy may reach the primary.
BOOST_AUTO_TEST_CASE(statements_are_refused_at_once_when_the_primary_stays_away)
{
    scheduler.setSuspicions({}, 4, now);
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Write), now);
    wait(400ms);
    scheduler.submit(request(2, StatementKind::Write), now);
    BOOST_TEST(!port.answers.contains(2)); // The primary may be replaced in time.
    wait(2s);
    scheduler.submit(request(3, StatementKind::Write), now);
    BOOST_REQUIRE(port.answers.contains(3));
    BOOST_TEST((port.answers.at(3).answer.error == AnswerCode::Busy));
}

BOOST_AUTO_TEST_CASE(leaving_primary_is_replaced_while_it_serves)
{
    sampleWatermark();
    auto leaving = registration("p", true);
    leaving.leaving = true;
    const std::vector servers{leaving, registration("r1"), registration("r2")};
    scheduler.setServers(servers, now);
    for (int i = 0; i < 30 && port.promotions.empty(); ++i) {
        wait(10ms);
        serve("r1");
        serve("r2");
    }
    BOOST_REQUIRE(port.promotions.size() == 1);
    scheduler.submit(request(1, StatementKind::Write), now);
    BOOST_TEST(onlyServer(port) == "p");
}

// Guards against sending requests to a leaving replica.
BOOST_AUTO_TEST_CASE(leaving_replica_gets_no_work)
{
    sampleWatermark();
    auto leaving1 = registration("r1");
    auto leaving2 = registration("r2");
    leaving1.leaving = true;
    leaving2.leaving = true;
    const std::vector servers{registration("p", true), leaving1, leaving2};
    scheduler.setServers(servers, now);
    for (RequestNumber number = 1; number <= 6; ++number)
        scheduler.submit(request(number, StatementKind::Read, 1500ms), now);
    BOOST_TEST(takeSent("r1").empty());
    BOOST_TEST(takeSent("r2").empty());
}

// Guards against promoting the former primary again from proxies that can't reach the store. This
// brought back commits that readers of the new primary had not seen, and caused 421 stale reads.
BOOST_AUTO_TEST_CASE(server_left_behind_by_a_promotion_is_not_promoted)
{
    sampleWatermark();
    scheduler.promotionSeen({"bookings", "r1", "other", "n", {1, 100}, 7}, now);
    const std::vector servers{registration("p"), registration("r1", true), registration("r2")};
    scheduler.setServers(servers, now);
    // r1 is the primary but can't be reached; p and r2 are ahead of its log in the old term.
    scheduler.submit(request(1, StatementKind::Write), now);
    for (int i = 0; i < 500; ++i) {
        wait(10ms);
        serve("p", {1, 131});
        serve("r2", {1, 127});
        takeSent("r1");
    }
    BOOST_TEST(port.promotions.empty());
}

// The counterpart of the test above: a replica whose log is no longer than that of the promoted
// server can't have forked, so the loss of a new primary doesn't leave the group without one.
BOOST_AUTO_TEST_CASE(server_not_ahead_of_the_last_promotion_may_be_promoted)
{
    sampleWatermark();
    scheduler.promotionSeen({"bookings", "r1", "other", "n", {1, 100}, 7}, now);
    const std::vector servers{registration("p"), registration("r1", true), registration("r2")};
    scheduler.setServers(servers, now);
    scheduler.submit(request(1, StatementKind::Write), now);
    for (int i = 0; i < 500 && port.promotions.empty(); ++i) {
        wait(10ms);
        serve("p", {1, 131});
        serve("r2", {1, 100});
        takeSent("r1");
    }
    BOOST_REQUIRE(!port.promotions.empty());
    BOOST_TEST(port.promotions.front().server == "r2");
}

// Guards against a group that stays without a primary because the promoted server has left and
// can't report whether it ever became the primary.
BOOST_AUTO_TEST_CASE(server_ahead_may_be_promoted_once_the_promoted_one_is_gone)
{
    sampleWatermark();
    scheduler.promotionSeen({"bookings", "r1", "other", "n", {1, 100}, 7}, now);
    const std::vector servers{registration("r2")};
    scheduler.setServers(servers, now);
    for (int i = 0; i < 500 && port.promotions.empty(); ++i) {
        wait(10ms);
        serve("r2", {1, 127});
    }
    BOOST_REQUIRE(!port.promotions.empty());
    BOOST_TEST(port.promotions.front().server == "r2");
}

// Guards against waiting for a report of a new primary that has already registered as such. Two
// proxies waited 1.6 s for the report because all their connections were busy.
BOOST_AUTO_TEST_CASE(new_primary_is_taken_at_its_claim)
{
    sampleWatermark();
    const std::vector servers{registration("p", true), registration("r1", true),
                              registration("r2")};
    scheduler.setServers(servers, now);
    port.sent.clear();
    scheduler.submit(request(1, StatementKind::Write), now);
    BOOST_TEST(onlyServer(port) == "r1");
}

// Guards against refusing clients at once after a start instead of letting them wait for the first
// connection. Servers had refused all connections for 3 s.
BOOST_AUTO_TEST_CASE(requests_wait_for_the_first_connection)
{
    FakePort other;
    GroupSchedulerSettings settings;
    settings.makePolicy = [] { return std::make_unique<FairSharePolicy>(); };
    GroupScheduler starting(settings, other);
    const std::vector servers{registration("p", true)};
    starting.setServers(servers, now);
    starting.submit(request(1, StatementKind::Write), now);
    BOOST_TEST(!other.answers.contains(1));
    starting.replied(other.opened.front(), successReply(), now);
    BOOST_REQUIRE(other.sent.size() == 1);
    BOOST_TEST((other.sent.front().commands.back().kind == CommandKind::Write));
}

// Guards against a proxy that holds connections that it doesn't need, so that others get none.
BOOST_AUTO_TEST_CASE(unused_connections_are_given_back)
{
    for (RequestNumber number = 1; number <= 3; ++number)
        scheduler.submit(request(number, StatementKind::Write), now);
    connectAll();
    serve("p");
    wait(1000ms);
    serve("p", {1, 100}, true);
    wait(2000ms);
    std::size_t open = 0;
    for (const auto &[number, link] : scheduler.servers()) {
        if (link.registration.id == "p")
            open = link.connections.size();
    }
    BOOST_TEST(open == 1);
}

// Guards against reads that wait for a silent server until their deadline.
BOOST_AUTO_TEST_CASE(read_moves_away_from_a_silent_replica)
{
    sampleWatermark();
    scheduler.submit(request(1, StatementKind::Read, 1500ms), now);
    const auto silent = onlyServer(port);
    port.sent.clear();
    for (int i = 0; i < 40 && !port.answers.contains(1); ++i) {
        wait(10ms);
        for (const std::string server : {"p", "r1", "r2"}) {
            if (server != silent)
                serve(server, {1, 100}, server == "p");
        }
    }
    BOOST_REQUIRE(port.answers.contains(1));
    BOOST_TEST(port.answers.at(1).server != silent);
}

// Guards against a promotion that loses a commit that only one replica has received. Both replicas,
// also the leaving one, are paused for the next term first, and resumed once its primary is known.
BOOST_AUTO_TEST_CASE(replicas_are_paused_before_a_promotion_and_resumed_after_it)
{
    sampleWatermark();
    scheduler.setConfirmReplicas(1);
    // The primary reports its position, so that no replica can have left with commits of its own.
    waitAndServe(500ms);
    auto leaving1 = registration("p", true);
    auto leaving2 = registration("r2");
    leaving1.leaving = true;
    leaving2.leaving = true;
    scheduler.setServers(std::vector{leaving1, registration("r1"), leaving2}, now);
    std::map<std::string, int> pauses;
    for (int i = 0; i < 60 && port.promotions.empty(); ++i) {
        wait(10ms);
        connectAll();
        for (const std::string replica : {"r1", "r2"}) {
            for (const auto kind : kinds(replica))
                pauses[replica] += kind == CommandKind::Pause ? 1 : 0;
            serve(replica);
        }
    }
    BOOST_REQUIRE(port.promotions.size() == 1);
    BOOST_TEST(port.promotions.front().server == "r1");
    BOOST_TEST(pauses["r1"] == 1);
    BOOST_TEST(pauses["r2"] == 1);
    for (int i = 0; i < 300; ++i) {
        wait(10ms);
        connectAll();
        serve("r1", {2, 100}, true);
        serve("r2", {2, 100});
    }
    BOOST_TEST(paused.at("r2") == 0U);
}

// Guards against an acknowledged commit that a promotion rolls back: a replica that has just joined
// confirmed it while the order was pending. Writes wait for the new primary meanwhile.
BOOST_AUTO_TEST_CASE(commit_beyond_an_ordered_promotion_is_in_doubt)
{
    sampleWatermark();
    scheduler.setConfirmReplicas(1);
    for (RequestNumber number = 1; number <= 2; ++number)
        scheduler.submit(request(number, StatementKind::Write), now);
    connectAll();
    const auto sent = takeSent("p");
    BOOST_REQUIRE(sent.size() == 2);
    scheduler.promotionSeen({"bookings", "r1", "other", "n", {1, 100}, 7, 1}, now);
    reply(sent[0].key, signedReply(TransactionState::None, {1, 100}));
    reply(sent[1].key, signedReply(TransactionState::None, {1, 101}));
    BOOST_TEST(!port.answers.at(1).answer.error.has_value());
    BOOST_TEST((port.answers.at(2).answer.error == AnswerCode::InDoubt));
    scheduler.submit(request(3, StatementKind::Write), now);
    BOOST_TEST(takeSent("p").empty());
    scheduler.setServers(
        std::vector{registration("p"), registration("r1", true), registration("r2")}, now);
    serve("r1", {2, 102}, true);
    BOOST_TEST(!port.answers.at(3).answer.error.has_value());
}

// Guards against a demoted primary that counts as the primary again because of the late answer to
// a commit.
BOOST_AUTO_TEST_CASE(demoted_primary_stays_demoted)
{
    sampleWatermark();
    scheduler.setConfirmReplicas(1);
    waitAndServe(500ms);
    scheduler.submit(request(1, StatementKind::Write), now);
    const auto write = takeSent("p");
    BOOST_REQUIRE(write.size() == 1);
    auto leaving = registration("p", true);
    leaving.leaving = true;
    scheduler.setServers(std::vector{leaving, registration("r1"), registration("r2")}, now);
    bool demoted = false;
    for (int i = 0; i < 60 && !demoted; ++i) {
        wait(10ms);
        connectAll();
        serve("r1");
        serve("r2");
        for (const auto &sent : takeSent("p")) {
            demoted = sent.commands.front().kind == CommandKind::Demote;
            reply(sent.key, report(!demoted, 1, {1, 101}));
        }
    }
    BOOST_REQUIRE(demoted);
    for (int i = 0; i < 30; ++i) {
        wait(10ms);
        serve("r1");
        serve("r2");
    }
    BOOST_REQUIRE(port.promotions.size() == 1);
    BOOST_TEST(port.promotions.front().server == "r1");
    BOOST_TEST(port.promotions.front().endedTerm == 1U);
    reply(write.front().key, signedReply(TransactionState::None, {1, 100}));
    for (const auto &[number, link] : scheduler.servers())
        BOOST_TEST(!link.primary);
}

// Guards against a replica that is never asked, and so neither paused nor chosen, because clients
// hold transactions on all connections to it: a crashed primary wasn't replaced for 7 s.
BOOST_AUTO_TEST_CASE(replica_full_of_transactions_is_asked_on_a_control_connection)
{
    sampleWatermark();
    scheduler.setConfirmReplicas(1);
    for (RequestNumber number = 1; number <= 12; ++number) {
        auto begin = request(number, StatementKind::Read, 1500ms);
        begin.scope = RequestScope::BeginTransaction;
        begin.readOnlyTransaction = true;
        scheduler.submit(begin, now);
        connectAll();
        for (const std::string server : {"p", "r1", "r2"})
            serve(server, {1, 100}, server == "p");
    }
    auto leaving = registration("p", true);
    leaving.leaving = true;
    scheduler.setServers(std::vector{leaving, registration("r1"), registration("r2")}, now);
    for (int i = 0; i < 60 && port.promotions.empty(); ++i) {
        wait(10ms);
        connectAll();
        for (const std::string server : {"p", "r1", "r2"})
            serve(server, {1, 100}, server == "p");
    }
    BOOST_TEST(scheduler.openTransactions() > 3U);
    BOOST_TEST(paused["r1"] == 2U);
    BOOST_TEST(paused["r2"] == 2U);
    BOOST_TEST(port.promotions.size() == 1U);
    // No request uses a control connection, and it is closed when it isn't needed any more.
    scheduler.setConfirmReplicas(0);
    waitAndServe(2s);
    for (const auto &[number, link] : scheduler.servers())
        BOOST_TEST(link.connections.size() == link.requestConnections());
}

// Guards against refusing requests while an idle transaction holds the only connection. When 30
// proxies share 46 connections to a server, each proxy's share is one.
BOOST_AUTO_TEST_CASE(work_behind_a_transaction_gets_a_connection_beyond_the_share)
{
    ConnectionAllotment allotment;
    allotment.burst = 3;
    scheduler.setConnections(allotment, now);
    auto begin = request(1, StatementKind::Write);
    begin.scope = RequestScope::BeginTransaction;
    scheduler.submit(begin, now);
    serve("p", {1, 100}, true);
    const auto opened = port.opened.size();
    for (RequestNumber number = 2; number <= 3; ++number)
        scheduler.submit(request(number, StatementKind::Write), now);
    BOOST_TEST(port.opened.size() > opened);
    connectAll();
    waitAndServe(200ms);
    BOOST_TEST(!port.answers.at(2).answer.error.has_value());
    BOOST_TEST(!port.answers.at(3).answer.error.has_value());
    scheduler.endTransaction(1, now);
    // The connections beyond the share are closed.
    waitAndServe(500ms);
    const auto &servers = scheduler.servers();
    const auto primary = std::find_if(servers.begin(), servers.end(),
                                      [](const auto &entry) { return entry.second.primary; });
    BOOST_REQUIRE(primary != servers.end());
    BOOST_TEST(primary->second.connections.size() == 1U);
}

// Guards against proxies that keep others from a server by opening more than their share.
BOOST_AUTO_TEST_CASE(refused_connection_ends_the_burst_for_a_while)
{
    ConnectionAllotment allotment;
    allotment.burst = 3;
    scheduler.setConnections(allotment, now);
    auto begin = request(1, StatementKind::Write);
    begin.scope = RequestScope::BeginTransaction;
    scheduler.submit(begin, now);
    serve("p", {1, 100}, true);
    scheduler.submit(request(2, StatementKind::Write), now);
    const auto opened = port.opened.size();
    BOOST_TEST(opened == 4U);
    reply(port.opened.back(), error(AnswerCode::TooManyClients));
    waitAndServe(300ms);
    BOOST_TEST(port.opened.size() == opened);
}

// Guards against a proxy that refuses every request for good: a connection was closed because its
// reply was lost, the server counted as silent from then on, and nothing asked it again.
BOOST_AUTO_TEST_CASE(server_that_owes_a_reply_is_asked_again_without_a_standing_connection)
{
    ConnectionAllotment allotment;
    allotment.standing = false;
    allotment.idleLimit = 200ms;
    scheduler.setWitness(false, 7);
    scheduler.setConnections(allotment, now);
    waitAndServe(50ms); // The primary is asked for its position first.
    scheduler.submit(request(1, StatementKind::Write), now);
    // The reply to the write is lost, and the connection is closed at the deadline.
    wait(900ms);
    BOOST_TEST((port.answers.at(1).answer.error == AnswerCode::InDoubt));
    port.sent.clear();
    wait(1500ms);
    connectAll();
    waitAndServe(100ms);
    scheduler.submit(request(2, StatementKind::Write), now);
    connectAll();
    waitAndServe(100ms);
    BOOST_REQUIRE(port.answers.contains(2));
    BOOST_TEST(!port.answers.at(2).answer.error.has_value());
    // Once it has answered, no connection is kept.
    waitAndServe(1000ms);
    for (const auto &[number, link] : scheduler.servers())
        BOOST_TEST(link.connections.empty());
}

// Guards against promotions ordered by many proxies at once: only witnesses report suspicions and
// order promotions.
BOOST_AUTO_TEST_CASE(proxy_that_is_no_witness_reports_and_orders_nothing)
{
    sampleWatermark();
    waitAndServe(50ms);
    port.suspicions.clear();
    scheduler.setWitness(false, 7);
    scheduler.setSuspicions({"p", "p", "p"}, 4, now);
    scheduler.submit(request(1, StatementKind::Write), now);
    for (int i = 0; i < 80; ++i) {
        wait(10ms);
        serve("r1");
        serve("r2");
    }
    BOOST_TEST(port.suspicions.empty());
    BOOST_TEST(port.promotions.empty());
    scheduler.setWitness(true, 0);
    for (int i = 0; i < 30 && port.promotions.empty(); ++i) {
        wait(10ms);
        serve("r1");
        serve("r2");
    }
    BOOST_TEST(!port.suspicions.empty());
    BOOST_TEST(port.promotions.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
