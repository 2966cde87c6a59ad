#include "control/controlcommand.h"

#include "control/logstory.h"

#include "control/fleetreport.h"
#include "control/statedump.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <iomanip>
#include <map>
#include <sstream>

namespace shallotwalk {

namespace json = boost::json;

namespace {

auto failure(std::string message, Verdict verdict = Verdict::DidNotRun)
{
    return boost::leaf::new_error(Failure{ErrorCode::BadRequest, verdict, std::move(message)});
}

std::string_view kindName(RowChange::Kind kind)
{
    switch (kind) {
    case RowChange::Kind::Added:
        return "added";
    case RowChange::Kind::Removed:
        return "removed";
    case RowChange::Kind::Changed:
        break;
    }
    return "changed";
}

json::array changesOf(const Tables &before, const Tables &after)
{
    json::array list;
    for (const auto &change : diffTables(before, after)) {
        list.push_back(json::object{
            {"table", change.table}, {"name", change.name}, {"change", kindName(change.kind)}});
    }
    return list;
}

std::string messageOf(const json::value &body)
{
    const auto *object = body.if_object();
    const auto *message = object == nullptr ? nullptr : object->if_contains("message");
    return message != nullptr && message->is_string() ? std::string(message->get_string())
                                                      : json::serialize(body);
}

/// Why a proxy refused a request, in terms of this program's options.
std::string refusalText(const ControlAnswer &answer)
{
    if (answer.status == 401) {
        return "the proxy refuses the operators' key, or none was given; use --key-file or "
               "SHALLOTWALK_OPERATORS_KEY";
    }
    return "status " + std::to_string(answer.status) + ": " + messageOf(answer.body);
}

bool changesState(std::string_view command)
{
    return command == "apply" || command == "drain";
}

} // namespace

ControlCommand::ControlCommand(ControlOptions options, std::ostream &out, std::ostream &err)
    : options_(std::move(options))
    , client_(options_.addresses.front(), options_.key)
    , out_(out)
    , err_(err)
{
}

ControlExit ControlCommand::run()
{
    return boost::leaf::try_handle_all(
        [this] { return dispatch(); },
        [this](const Failure &error) {
            err_ << "shallotwalkctl: ";
            // Problems of files and refusals are BadRequest.
            if (error.code != ErrorCode::BadRequest)
                err_ << "proxy " << toString(options_.addresses.front()) << ": ";
            err_ << error.message << '\n';
            if (error.verdict == Verdict::MayHaveRun && changesState(options_.command))
                return ControlExit::Unknown;
            return ControlExit::Failed;
        },
        [this] {
            err_ << "shallotwalkctl: internal error\n";
            return ControlExit::Failed;
        });
}

Result<ControlExit> ControlCommand::dispatch()
{
    using Method = Result<ControlExit> (ControlCommand::*)();
    struct Entry
    {
        Method method;
        std::size_t arguments;
    };
    static const std::map<std::string_view, Entry> commands = {
        {"validate", {&ControlCommand::validate, 1}}, {"diff", {&ControlCommand::diff, 1}},
        {"apply", {&ControlCommand::apply, 1}},       {"show", {&ControlCommand::show, 0}},
        {"status", {&ControlCommand::status, 0}},     {"dump", {&ControlCommand::dump, 0}},
        {"drain", {&ControlCommand::drain, 0}},       {"fleet", {&ControlCommand::fleet, 0}},
        {"story", {&ControlCommand::story, 2}},
    };
    const auto found = commands.find(options_.command);
    if (found == commands.end()) {
        err_ << "shallotwalkctl: unknown command \"" << options_.command << "\"; see --help\n";
        return ControlExit::Usage;
    }
    if (options_.command == "story" && options_.arguments.size() < 2) {
        err_ << "shallotwalkctl: story takes a word and at least one file; see --help\n";
        return ControlExit::Usage;
    }
    if (options_.command != "story" && options_.arguments.size() != found->second.arguments) {
        err_ << "shallotwalkctl: " << options_.command << " takes "
             << (found->second.arguments == 0 ? "no arguments" : "one file") << "; see --help\n";
        return ControlExit::Usage;
    }
    return (this->*found->second.method)();
}

Result<ControlExit> ControlCommand::story()
{
    LogStory story(options_.arguments.front());
    for (std::size_t i = 1; i < options_.arguments.size(); ++i) {
        BOOST_LEAF_AUTO(text, readTextFile(options_.arguments[i]));
        story.add(text);
    }
    const auto lines = story.lines();
    for (const auto &line : lines)
        out_ << line << '\n';
    if (story.unreadable() > 0)
        err_ << "shallotwalkctl: " << story.unreadable() << " lines were no JSON objects\n";
    if (!lines.empty())
        return ControlExit::Success;
    err_ << "shallotwalkctl: no line is about \"" << options_.arguments.front() << "\"\n";
    return ControlExit::Failed;
}

Result<Tables> ControlCommand::readTables() const
{
    const auto &path = options_.arguments.front();
    BOOST_LEAF_AUTO(text, readTextFile(path));
    auto decoding = decodeTables(text);
    if (decoding.problems.empty())
        decoding.problems = shallotwalk::validate(decoding.tables);
    if (decoding.problems.empty())
        return std::move(decoding.tables);
    std::string message;
    for (const auto &problem : decoding.problems) {
        message += (message.empty() ? "" : "\n") + path + ": "
                   + (problem.path.empty() ? "" : problem.path + ": ") + problem.message;
    }
    return failure(std::move(message));
}

Result<Tables> ControlCommand::tablesInForce()
{
    BOOST_LEAF_AUTO(answer, client_.call("GET", "/v1/tables"));
    if (answer.status != 200)
        return failure(refusalText(answer));
    const auto *object = answer.body.if_object();
    const auto *version = object == nullptr ? nullptr : object->if_contains("version");
    const auto *rows = object == nullptr ? nullptr : object->if_contains("tables");
    json::error_code error;
    const auto number = version == nullptr || !version->is_number()
                            ? 0
                            : version->to_number<ConfigurationVersion>(error);
    auto decoding = rows == nullptr ? TablesDecoding{} : decodeTables(json::serialize(*rows));
    if (version == nullptr || rows == nullptr || error || !decoding.problems.empty())
        return failure("the answer of the proxy doesn't hold tables; is it a shallotwalk proxy?");
    decoding.tables.version = number;
    return std::move(decoding.tables);
}

Result<ControlExit> ControlCommand::validate()
{
    BOOST_LEAF_AUTO(tables, readTables());
    out_ << options_.arguments.front() << ": valid, " << tables.routes.size() << " routes and "
         << tables.pools.size() << " pools\n";
    return ControlExit::Success;
}

Result<ControlExit> ControlCommand::diff()
{
    BOOST_LEAF_AUTO(wanted, readTables());
    BOOST_LEAF_AUTO(current, tablesInForce());
    printDiff(current, wanted);
    return ControlExit::Success;
}

void ControlCommand::printDiff(const Tables &current, const Tables &wanted)
{
    if (options_.json) {
        out_ << json::serialize(
            json::object{{"version", current.version}, {"changes", changesOf(current, wanted)}})
             << '\n';
        return;
    }
    out_ << "version in force: " << current.version << '\n';
    printChanges(out_, current, wanted);
}

Result<ControlExit> ControlCommand::apply()
{
    BOOST_LEAF_AUTO(wanted, readTables());
    auto expected = options_.expected;
    if (!expected) {
        BOOST_LEAF_AUTO(current, tablesInForce());
        expected = current.version;
    }
    BOOST_LEAF_AUTO(answer, client_.call("PUT", "/v1/tables", encodeTables(wanted),
                                         '"' + std::to_string(*expected) + '"'));
    if (answer.status == 200) {
        if (options_.json)
            out_ << json::serialize(answer.body) << '\n';
        else
            out_ << "version " << textOf(objectOf(answer.body), "version") << " accepted\n";
        return ControlExit::Success;
    }
    if (answer.status == 409)
        return printConflict(answer, wanted);
    if (answer.status == 504) {
        err_ << "shallotwalkctl: " << messageOf(answer.body) << '\n';
        return ControlExit::Unknown;
    }
    return refused(answer);
}

ControlExit ControlCommand::printConflict(const ControlAnswer &answer, const Tables &wanted)
{
    const auto &body = objectOf(answer.body);
    const auto *rows = body.if_contains("tables");
    const auto current = rows == nullptr ? Tables{} : decodeTables(json::serialize(*rows)).tables;
    err_ << "shallotwalkctl: conflict: version " << textOf(body, "version")
         << " is in force; nothing was changed.";
    if (rows != nullptr) {
        err_ << " Compared with it, the file has:\n";
        printChanges(err_, current, wanted);
    } else {
        err_ << '\n';
    }
    if (options_.json)
        out_ << json::serialize(answer.body) << '\n';
    return ControlExit::Conflict;
}

void ControlCommand::printChanges(std::ostream &stream, const Tables &before, const Tables &after)
{
    const auto changes = diffTables(before, after);
    for (const auto &change : changes)
        stream << kindName(change.kind) << ' ' << change.table << ' ' << change.name << '\n';
    if (changes.empty())
        stream << "no changes\n";
}

Result<ControlExit> ControlCommand::refused(const ControlAnswer &answer)
{
    err_ << "shallotwalkctl: " << refusalText(answer) << '\n';
    const auto *problems = objectOf(answer.body).if_contains("problems");
    if (problems != nullptr && problems->is_array()) {
        for (const auto &problem : problems->get_array()) {
            err_ << "  " << textOf(objectOf(problem), "path") << ": "
                 << textOf(objectOf(problem), "message") << '\n';
        }
    }
    return ControlExit::Failed;
}

Result<ControlExit> ControlCommand::show()
{
    BOOST_LEAF_AUTO(current, tablesInForce());
    if (options_.json) {
        out_ << json::serialize(json::object{{"version", current.version},
                                             {"tables", json::parse(encodeTables(current))}})
             << '\n';
        return ControlExit::Success;
    }
    out_ << "// version " << current.version << '\n' << encodeTables(current);
    return ControlExit::Success;
}

Result<ControlExit> ControlCommand::status()
{
    BOOST_LEAF_AUTO(ready, client_.call("GET", "/readyz"));
    BOOST_LEAF_AUTO(answer, client_.call("GET", "/v1/state"));
    if (answer.status != 200)
        return refused(answer);
    if (options_.json) {
        out_ << json::serialize(json::object{{"readiness", ready.body}, {"state", answer.body}})
             << '\n';
        return ControlExit::Success;
    }
    out_ << "ready: " << textOf(objectOf(ready.body), "ready") << ' '
         << textOf(objectOf(ready.body), "reason") << "\n\n"
         << std::left << std::setw(28) << "database" << std::setw(10) << "serving" << std::setw(14)
         << "owner" << std::setw(8) << "epoch" << std::setw(6) << "term" << std::setw(8) << "conns"
         << std::setw(8) << "active"
         << "queued\n";
    visitDatabases(answer.body, [this](const json::object &state) {
        const auto *database = state.if_contains("database");
        const json::object none;
        const auto &served =
            database != nullptr && database->is_object() ? database->as_object() : none;
        out_ << std::setw(28) << textOf(state, "pool") << std::setw(10) << textOf(state, "serving")
             << std::setw(14) << textOf(state, "owner") << std::setw(8) << textOf(state, "epoch")
             << std::setw(6) << textOf(served, "term") << std::setw(8)
             << textOf(served, "connections") << std::setw(8) << textOf(served, "active")
             << textOf(served, "queued") << '\n';
    });
    return ControlExit::Success;
}

Result<ControlExit> ControlCommand::fleet()
{
    std::vector<ProxyReport> proxies;
    proxies.reserve(options_.addresses.size());
    for (const auto &address : options_.addresses)
        proxies.push_back(readProxy(address, options_.key));
    const FleetReport report(std::move(proxies));
    if (options_.json)
        out_ << json::serialize(report.toJson()) << '\n';
    else
        report.print(out_);
    return report.problems().empty() ? ControlExit::Success : ControlExit::Failed;
}

Result<ControlExit> ControlCommand::dump()
{
    BOOST_LEAF_AUTO(answer, client_.call("GET", "/v1/state"));
    if (answer.status != 200)
        return refused(answer);
    out_ << json::serialize(answer.body) << '\n';
    return ControlExit::Success;
}

Result<ControlExit> ControlCommand::drain()
{
    BOOST_LEAF_AUTO(answer, client_.call("POST", "/v1/drain"));
    if (answer.status != 202)
        return refused(answer);
    out_ << "draining\n";
    return ControlExit::Success;
}

int runControl(std::span<const std::string> arguments, std::ostream &out, std::ostream &err)
{
    const auto code = boost::leaf::try_handle_all(
        [&]() -> Result<ControlExit> {
            BOOST_LEAF_AUTO(options, parseControlOptions(arguments));
            if (options.help) {
                out << controlHelp();
                return ControlExit::Success;
            }
            if (options.version) {
                out << "shallotwalkctl " SHALLOTWALK_VERSION "\n";
                return ControlExit::Success;
            }
            return ControlCommand(std::move(options), out, err).run();
        },
        [&](const Failure &error) {
            err << "shallotwalkctl: " << error.message << '\n';
            return ControlExit::Usage;
        },
        [] { return ControlExit::Failed; });
    return static_cast<int>(code);
}

} // namespace shallotwalk
