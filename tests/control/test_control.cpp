#include "control/control.h"
#include "control/fakeadministration.h"
#include "support/temporaryfile.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace shallotwalk;
using namespace shallotwalk::test;

namespace {

constexpr std::string_view tables = R"({"routes": [{"name": "bookings", "callers": ["*"],
    "service": "slots", "database": "nord", "pool": "slots-nord"}], "pools": [{"name": "slots-nord",
    "databaseName": "slots", "user": "u", "servers": [{"vm": "db1", "dataCentre": "nord",
    "host": "127.0.0.1", "port": 5432}], "confirmReplicas": 0}]})";
constexpr std::string_view noTables = R"({"version": 4, "tables": {"routes": [], "pools": []}})";

struct Outcome
{
    int code = -1;
    std::string out;
    std::string err;
};

Outcome run(std::vector<std::string> arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runControl(arguments, out, err);
    return {code, out.str(), err.str()};
}

/// Runs a command with a key against a fake server.
Outcome runAt(const FakeAdministration &server, std::vector<std::string> arguments)
{
    const TemporaryFile key("operators-key-1234\r\n");
    arguments.insert(arguments.end(), {"--address", server.address(), "--key-file", key.path()});
    return run(std::move(arguments));
}

} // namespace

// Guards against wrong usage that is taken for another command or for a failure of the proxy.
BOOST_AUTO_TEST_CASE(wrong_usage_is_explained)
{
    const TemporaryFile empty("");
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
        {{}, "a command is missing; see --help"},
        {{"aply"}, "unknown command \"aply\"; see --help"},
        {{"show", "x"}, "show takes no arguments; see --help"},
        {{"apply"}, "apply takes one file; see --help"},
        {{"diff", "a", "b"}, "diff takes one file; see --help"},
        {{"--adress", "x"}, "unrecognised option '--adress'; see --help"},
        {{"show", "-a", "localhost:1"}, "--address: \"localhost:1\" is not <IP number>:<port>"},
        {{"apply", "f", "-e", "-1"}, "--expected: \"-1\" is not a version, which is a number"},
        {{"show", "-a", "127.0.0.1:1", "-a", "127.0.0.1:2"},
         "several --address are for fleet only; see --help"},
        {{"show", "-e", "1"}, "--expected is for apply only; see --help"},
        {{"show", "-k", "/nowhere/key"}, "/nowhere/key: No such file or directory"},
        {{"show", "-k", empty.path()},
         empty.path() + ": the first line must hold the operators' key"},
    };
    for (const auto &[arguments, message] : cases) {
        const auto outcome = run(arguments);
        BOOST_TEST(outcome.code == 2);
        BOOST_TEST(outcome.err == "shallotwalkctl: " + message + "\n");
    }
    BOOST_TEST(run({"--help"}).code == 0);
    BOOST_TEST(run({"--version"}).out == "shallotwalkctl " SHALLOTWALK_VERSION "\n");
}

// Guards against files that are accepted with problems, and against reports of one problem only.
BOOST_AUTO_TEST_CASE(validate_reports_all_problems)
{
    const TemporaryFile valid(tables);
    BOOST_TEST(run({"validate", valid.path()}).out
               == valid.path() + ": valid, 1 routes and 1 pools\n");
    const auto check = [](std::string_view content, const std::vector<std::string> &problems) {
        const TemporaryFile file(content);
        const auto outcome = run({"validate", file.path()});
        std::string expected;
        for (const auto &problem : problems)
            expected += file.path() + ": " + problem + "\n";
        BOOST_TEST(outcome.code == 1);
        BOOST_TEST(outcome.err == "shallotwalkctl: " + expected);
    };
    check("{\n\"routes\": x}", {"2:11: syntax error"});
    check("[]", {"must be an object"});
    check(R"({"routes": [], "pools": [{"name": "p", "databaseName": "d", "user": "", "servers": [
        {"vm": "a", "dataCentre": "c", "host": "db.example", "port": 1},
        {"vm": "b", "dataCentre": "c", "host": "10.0.0.256", "port": 70000}]}]})",
          {"pools[0].servers[1].port: value 70000 is outside 0 to 65535"});
    check(R"({"routes": [{"name": "r", "callers": ["*", "a"], "service": "s", "database": "d",
        "pool": "q", "timeoutMs": 0}], "pools": [{"name": "p", "databaseName": "d", "user": "",
        "servers": [{"vm": "a", "dataCentre": "c", "host": "db.example", "port": 1},
        {"vm": "b", "dataCentre": "c", "host": "db.example", "port": 1}]}]})",
          {"pools[0].user: must not be empty",
           "pools[0].servers[0].host: \"db.example\" is not an IP number",
           "pools[0].servers[1].host: \"db.example\" is not an IP number",
           "pools[0].servers[1]: address db.example:1 stands twice in the pool",
           "routes[0].callers[0]: \"*\" stands for all callers and must be the only entry",
           "routes[0].pool: no pool is named \"q\"",
           "routes[0].timeoutMs: value 0 is outside 1 to 3600000"});
    BOOST_TEST(run({"validate", "/tmp"}).err == "shallotwalkctl: /tmp: is a directory\n");
}

// Guards against a proxy that can't be reached, or another server, being reported as a success.
BOOST_AUTO_TEST_CASE(failures_of_the_proxy_have_their_exit_code)
{
    std::string address;
    {
        const FakeAdministration closed({});
        address = closed.address();
    }
    const auto unreachable = run({"show", "-a", address});
    BOOST_TEST(unreachable.code == 1);
    BOOST_TEST(unreachable.err
               == "shallotwalkctl: proxy " + address + ": connect: Connection refused\n");
    FakeAdministration refusing({{401, R"({"error": "unauthorised", "message": "m"})"}});
    const auto refused = run({"show", "-a", refusing.address()});
    BOOST_TEST(refused.code == 1);
    BOOST_TEST(refused.err.find("use --key-file or SHALLOTWALK_OPERATORS_KEY")
               != std::string::npos);
    for (const char *body : {"[]", "{}", R"({"version": "x", "tables": {}})", "no JSON"}) {
        FakeAdministration other({{200, body}});
        BOOST_TEST(runAt(other, {"show"}).code == 1);
    }
    FakeAdministration silent({{0, {}}, {0, {}}});
    BOOST_TEST(runAt(silent, {"show"}).code == 1);
    BOOST_TEST(runAt(silent, {"drain"}).code == 4);
}

// Guards against a lost update, and against a lost answer that is taken for a failure.
BOOST_AUTO_TEST_CASE(apply_tells_its_outcomes_apart)
{
    const TemporaryFile file(tables);
    FakeAdministration accepting({{200, std::string(noTables)}, {200, R"({"version": 5})"}});
    const auto accepted = runAt(accepting, {"apply", file.path()});
    BOOST_TEST(accepted.code == 0);
    BOOST_TEST(accepted.out == "version 5 accepted\n");
    const auto requests = accepting.requests();
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(requests[1].method == "PUT");
    BOOST_TEST(requests[1].ifMatch == "\"4\"");
    BOOST_TEST(requests[1].authorization == "Bearer operators-key-1234");

    FakeAdministration conflict({{409, std::string(noTables)}});
    const auto outcome = runAt(conflict, {"apply", file.path(), "--expected", "3"});
    BOOST_TEST(outcome.code == 3);
    BOOST_TEST(outcome.err
               == "shallotwalkctl: conflict: version 4 is in force; nothing was changed. Compared "
                  "with it, the file has:\nadded routes bookings\nadded pools slots-nord\n");

    FakeAdministration invalid(
        {{422, R"({"message": "m", "problems": [{"path": "p", "message": "q"}]})"}});
    const auto refused = runAt(invalid, {"apply", file.path(), "-e", "4"});
    BOOST_TEST(refused.code == 1);
    BOOST_TEST(refused.err == "shallotwalkctl: status 422: m\n  p: q\n");

    FakeAdministration unknown({{504, R"({"message": "m"})"}, {0, {}}});
    BOOST_TEST(runAt(unknown, {"apply", file.path(), "-e", "4"}).code == 4);
    BOOST_TEST(runAt(unknown, {"apply", file.path(), "-e", "4"}).code == 4);
}

// Guards against output with --json that scripts can't parse.
BOOST_AUTO_TEST_CASE(results_are_printed_as_text_or_json)
{
    const TemporaryFile file(tables);
    const std::string current(noTables);
    FakeAdministration server({{200, current}, {200, current}, {200, current}});
    BOOST_TEST(runAt(server, {"diff", file.path()}).out
               == "version in force: 4\nadded routes bookings\nadded pools slots-nord\n");
    BOOST_TEST(
        runAt(server, {"diff", file.path(), "--json"}).out
        == R"({"version":4,"changes":[{"table":"routes","name":"bookings","change":"added"},)"
           R"({"table":"pools","name":"slots-nord","change":"added"}]})"
           "\n");
    BOOST_TEST(runAt(server, {"show", "--json"}).out
               == R"({"version":4,"tables":{"routes":[],"pools":[]}})"
                  "\n");
    FakeAdministration state({{503, R"({"ready": false, "reason": "no tables are loaded yet"})"},
                              {200, R"({"children": {}})"},
                              {200, "{}"},
                              {202, R"({"draining": true})"}});
    const auto status = runAt(state, {"status"});
    BOOST_TEST(status.code == 0);
    BOOST_TEST(status.out.starts_with("ready: false no tables are loaded yet\n"));
    BOOST_TEST(runAt(state, {"dump"}).out == "{}\n");
    BOOST_TEST(runAt(state, {"drain"}).out == "draining\n");
}

// Guards against a fleet that is reported as healthy although a proxy is unreachable or not ready,
// has older tables, or a database is served by no proxy or by two.
BOOST_AUTO_TEST_CASE(fleet_reports_differences_between_proxies)
{
    const std::string ready = R"({"ready": true, "reason": ""})";
    const auto state = [](int version, const std::string &serving) {
        return R"({"children": {"dispatcher": {"state": {"tables_version": )"
               + std::to_string(version)
               + R"(, "owners": {"nord": {"owner": "p1", "epoch": 3}, "sud": {"owner": "p2",)"
                 R"( "epoch": 1}}}}, "databases": [)"
               + serving + "]}}";
    };
    const std::string nord = R"({"pool": "nord", "serving": true, "epoch": 3})";
    const std::string sud = R"({"pool": "sud", "serving": true, "epoch": 1})";

    FakeAdministration first({{200, ready}, {200, state(4, nord)}});
    FakeAdministration second({{200, ready}, {200, state(4, sud)}});
    const auto healthy = run({"fleet", "-a", first.address(), "-a", second.address()});
    BOOST_TEST(healthy.code == 0);
    BOOST_TEST(healthy.out.ends_with("\nno problems\n"));

    FakeAdministration old({{200, ready}, {200, state(3, nord)}});
    FakeAdministration starting(
        {{503, R"({"ready": false, "reason": "no tables"})"}, {200, state(4, nord)}});
    FakeAdministration refusing({{200, ready}, {401, R"({"message": "wrong key"})"}});
    const auto outcome = run({"fleet", "--address", old.address(), "--address", starting.address(),
                              "--address", refusing.address(), "--json"});
    BOOST_TEST(outcome.code == 1);
    const auto problems = boost::json::parse(outcome.out).at("problems").as_array();
    const std::vector<std::string> expected = {
        old.address() + ": version 3 of the tables is in force, version 4 elsewhere",
        starting.address() + ": not ready: no tables",
        refusing.address() + ": status 401: wrong key",
        "database sud: served by none of these proxies; its record names p2",
        "database nord: " + old.address() + " and " + starting.address()
            + " both report that they serve it"};
    BOOST_REQUIRE(problems.size() == expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i)
        BOOST_TEST(problems[i].as_string() == expected[i]);
}
// Guards against lines of one statement that are missed or out of order over several processes.
BOOST_AUTO_TEST_CASE(story_orders_the_lines_of_several_processes)
{
    const test::TemporaryFile first(
        "12.4 front-1 {\"time\":\"T12:00:02.4Z\",\"vm\":\"a\",\"event\":\"statement_failed\","
        "\"id\":\"q7\",\"ms\":738}\n"
        "{\"time\":\"T12:00:02.5Z\",\"vm\":\"a\",\"event\":\"other\",\"id\":\"q77\"}\n");
    const test::TemporaryFile second(
        "not json\n{\"time\":\"T12:00:02.1Z\",\"vm\":\"b\",\"event\":\"statement_repeated\","
        "\"id\":\"q7\"}\n");
    std::ostringstream out;
    std::ostringstream err;
    const std::vector<std::string> arguments{"story", "q7", first.path(), second.path()};
    BOOST_TEST(runControl(arguments, out, err) == 0);
    BOOST_TEST(out.str()
               == "T12:00:02.1Z b statement_repeated id=q7\n"
                  "T12:00:02.4Z a statement_failed id=q7 ms=738\n");
    BOOST_TEST(err.str() == "shallotwalkctl: 1 lines were no JSON objects\n");
    const std::vector<std::string> unknown{"story", "q8", first.path()};
    BOOST_TEST(runControl(unknown, out, err) == 1);
    const std::vector<std::string> incomplete{"story", "q8"};
    BOOST_TEST(runControl(incomplete, out, err) == 2);
}
