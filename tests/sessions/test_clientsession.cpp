#include "core/core.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<Tables> tables()
{
    auto tables = std::make_shared<Tables>();
    tables->version = 1;
    Route route;
    route.name = "lookup";
    route.callers = {"*"};
    route.database = "slots";
    route.pool = "bookings";
    route.maxStaleness = 1500ms;
    route.timeout = 800ms;
    route.requireRequestKey = false;
    tables->routes = {route};
    Pool pool;
    pool.name = "bookings";
    tables->pools = {pool};
    return tables;
}

struct SessionFixture
{
    SessionStep handle(StatementKind kind, std::string name = {}, std::string text = {},
                       bool readOnly = false)
    {
        return session.handle({"id", kind, readOnly, std::move(name), std::move(text)}, router,
                              ++lastRequest, now);
    }

    SessionAnswer complete(TransactionState state, std::optional<AnswerCode> error = std::nullopt,
                           bool committed = false, Position position = {1, 100})
    {
        GroupAnswer outcome;
        outcome.answer.state = state;
        outcome.answer.error = error;
        outcome.answer.position = position;
        outcome.committed = committed;
        return session.complete(std::move(outcome));
    }

    Router router{tables()};
    ClientSession session{7, "slots"};
    TimePoint now{std::chrono::seconds(1000)};
    RequestNumber lastRequest = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_session, SessionFixture)

BOOST_AUTO_TEST_CASE(transaction_begins_at_the_server_with_its_first_statement)
{
    const auto begin = handle(StatementKind::Begin);
    BOOST_REQUIRE(begin.answer.has_value());
    BOOST_TEST((begin.answer->state == TransactionState::Open));
    const auto first = handle(StatementKind::Write, {}, "1a4 data");
    BOOST_REQUIRE(first.request.has_value());
    BOOST_TEST((first.request->scope == RequestScope::BeginTransaction));
    complete(TransactionState::Open);
    const auto second = handle(StatementKind::Read, {}, "1a4");
    BOOST_TEST((second.request->scope == RequestScope::InTransaction));
}

// Guards against a read that misses an earlier commit of its own session.
BOOST_AUTO_TEST_CASE(commit_position_is_carried_to_later_reads)
{
    handle(StatementKind::Write, {}, "1a4 data");
    complete(TransactionState::None, std::nullopt, true, {1, 130});
    const auto read = handle(StatementKind::Read, {}, "1a4");
    BOOST_TEST((read.request->sessionPosition == Position{1, 130}));
}

// Guards against statements that run although their transaction has failed.
BOOST_AUTO_TEST_CASE(failed_transaction_accepts_only_its_end)
{
    handle(StatementKind::Begin);
    handle(StatementKind::Write, {}, "1a4 data");
    complete(TransactionState::Failed, AnswerCode::Aborted);
    const auto read = handle(StatementKind::Read, {}, "1a4");
    BOOST_TEST((read.answer->error == AnswerCode::Malformed));
    BOOST_TEST((read.answer->state == TransactionState::Failed));
    const auto end = handle(StatementKind::Rollback);
    BOOST_TEST(!end.answer->error.has_value());
    BOOST_TEST((end.answer->state == TransactionState::None));
}

// Guards against a commit that succeeds although its transaction was rolled back.
BOOST_AUTO_TEST_CASE(commit_of_a_failed_transaction_is_aborted)
{
    handle(StatementKind::Begin);
    handle(StatementKind::Write, {}, "1a4 data");
    complete(TransactionState::Failed, AnswerCode::Aborted);
    const auto commit = handle(StatementKind::Commit);
    BOOST_TEST((commit.answer->error == AnswerCode::Aborted));
    BOOST_TEST((commit.answer->state == TransactionState::None));
}

BOOST_AUTO_TEST_CASE(write_in_a_read_only_transaction_is_refused_and_rolls_it_back)
{
    handle(StatementKind::Begin, {}, {}, true);
    handle(StatementKind::Read, {}, "1a4");
    complete(TransactionState::Open);
    const auto write = handle(StatementKind::Write, {}, "1a4 data");
    BOOST_TEST((write.answer->error == AnswerCode::ReadOnly));
    BOOST_TEST(write.rollBackTransaction);
}

BOOST_AUTO_TEST_CASE(rollback_without_statements_needs_no_server)
{
    handle(StatementKind::Begin);
    const auto end = handle(StatementKind::Rollback);
    BOOST_TEST(!end.request.has_value());
    BOOST_TEST(!end.rollBackTransaction);
}

BOOST_AUTO_TEST_CASE(names_of_prepared_statements_belong_to_the_session)
{
    handle(StatementKind::Prepare, "s1", "q2c", true);
    const auto execute = handle(StatementKind::Execute, "s1", "1a4");
    BOOST_REQUIRE(execute.request.has_value());
    BOOST_TEST(execute.request->readOnly);
    BOOST_TEST(execute.request->prepared->statementTemplate == "q2c");
    complete(TransactionState::None);
    handle(StatementKind::Deallocate, "s1");
    const auto unknown = handle(StatementKind::Execute, "s1", "1a4");
    BOOST_TEST((unknown.answer->error == AnswerCode::NotPrepared));
}

// Guards against a SetValue statement that changes the values of an earlier request.
BOOST_AUTO_TEST_CASE(request_keeps_the_values_at_its_start)
{
    handle(StatementKind::SetValue, "zone", "nord");
    const auto first = handle(StatementKind::Read, {}, "1a4");
    complete(TransactionState::None);
    handle(StatementKind::SetValue, "zone", "sud");
    BOOST_TEST(first.request->values->at("zone") == "nord");
}

BOOST_AUTO_TEST_CASE(statement_without_route_names_the_database)
{
    const Router empty(std::make_shared<Tables>());
    const auto step = session.handle({"id", StatementKind::Read, false, {}, "1a4"}, empty, 1, now);
    BOOST_TEST((step.answer->error == AnswerCode::NoDatabase));
    BOOST_TEST(!session.requestOutstanding());
}

// Guards against a route change in the middle of a transaction.
BOOST_AUTO_TEST_CASE(transaction_keeps_its_route)
{
    handle(StatementKind::Begin);
    const Router empty(std::make_shared<Tables>());
    const auto step =
        session.handle({"id", StatementKind::Write, false, {}, "1a4 data"}, empty, 1, now);
    BOOST_REQUIRE(step.request.has_value());
    BOOST_TEST(step.pool == "bookings");
}

// Guards against one client that keeps the processor from all others: each of its SET statements
// copied all values of its session. The platform asks for readiness once a second.
BOOST_AUTO_TEST_CASE(statement_that_sets_a_value_copies_no_other_values)
{
    const std::string large(1000000, 'x');
    for (int i = 0; i < 100; ++i)
        handle(StatementKind::SetValue, "v" + std::to_string(i), large);
    handle(StatementKind::Read, {}, "1a4");
    complete(TransactionState::None);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 1000; ++i)
        handle(StatementKind::SetValue, "zone", "nord");
    BOOST_TEST((std::chrono::steady_clock::now() - start < 1s));
}

// Guards against a statement that runs with values which were set after it.
BOOST_AUTO_TEST_CASE(request_keeps_the_values_that_it_was_made_with)
{
    handle(StatementKind::SetValue, "zone", "nord");
    const auto first = handle(StatementKind::Read, {}, "1a4").request;
    complete(TransactionState::None);
    handle(StatementKind::SetValue, "zone", "sud");
    handle(StatementKind::SetValue, "zone", "centre");
    BOOST_TEST(first->values->at("zone") == "nord");
    const auto second = handle(StatementKind::Read, {}, "1a4").request;
    BOOST_TEST(second->values->at("zone") == "centre");
}

// Guards against a statement that runs in place of another one on a shared connection.
BOOST_AUTO_TEST_CASE(names_of_prepared_statements_do_not_collide)
{
    ConnectionContent content;
    std::set<std::string> names;
    const auto prepare = [&](const PreparedStatement &statement) {
        for (const auto &command : content.prepareFor({}, statement)) {
            BOOST_TEST((command.kind == CommandKind::Prepare));
            BOOST_TEST(command.name == content.nameOf(statement));
            BOOST_TEST(names.insert(command.name).second);
        }
        BOOST_TEST(content.nameOf(statement).find(' ') == std::string::npos);
    };
    const PreparedStatement read{true, "q2c"};
    for (const auto &statement :
         {read, {false, "q2c"}, {true, "q2d"}, PreparedStatement{true, "a b"}, read})
        prepare(statement);
    BOOST_TEST(names.size() == 4U);
    // A server that has forgotten a statement gets it under another name.
    content.forget(read);
    prepare(read);
    BOOST_TEST(names.size() == 5U);
}

// Guards against a long statement that is acknowledged and can't be run: its name at the server was
// twice as long as the statement, and the messages to the server were too long.
BOOST_AUTO_TEST_CASE(long_statement_gets_a_short_name)
{
    ConnectionContent content;
    const PreparedStatement statement{true, std::string(600000, 'x')};
    const auto commands = content.prepareFor({}, statement);
    BOOST_REQUIRE(commands.size() == 1U);
    BOOST_TEST(commands.front().name.size() < 20U);
    const auto answer = handle(StatementKind::Prepare, "s", statement.statementTemplate).answer;
    BOOST_TEST(!answer->error.has_value());
}

// Guards against acknowledging what can't be run, since the message to the server would be longer
// than 1 MiB.
BOOST_AUTO_TEST_CASE(statement_that_cannot_be_sent_is_refused_when_it_is_prepared)
{
    const std::string tooLong((std::size_t{1} << 20) - 30, 'x');
    BOOST_TEST((handle(StatementKind::Prepare, "s", tooLong).answer->error == AnswerCode::TooBig));
    BOOST_TEST(!handle(StatementKind::Prepare, "s", "q2c").answer->error.has_value());
    BOOST_TEST((handle(StatementKind::Execute, "s", tooLong).answer->error == AnswerCode::TooBig));
}

BOOST_AUTO_TEST_SUITE_END()
