#include "control/controloptions.h"

#include "core/ipnumber.h"

#include <boost/leaf/error.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <cstdlib>
#include <sstream>

namespace shallotwalk {

namespace po = boost::program_options;

namespace {

constexpr const char *keyVariable = "SHALLOTWALK_OPERATORS_KEY";

po::options_description visibleOptions()
{
    po::options_description options("Options");
    options.add_options()("help,h", "print this text")("version", "print the version")(
        "address,a", po::value<std::vector<std::string>>()->composing(),
        "administration address of a proxy, <IP number>:<port>, 127.0.0.1:8301 unless given; "
        "fleet: one for each proxy")(
        "key-file,k", po::value<std::string>(),
        "file with the operators' key; else SHALLOTWALK_OPERATORS_KEY")(
        "expected,e", po::value<std::string>(),
        "apply: version that the file was made from; else the version in force")(
        "json", "print JSON instead of text");
    return options;
}

auto usageError(std::string message)
{
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, std::move(message)});
}

Result<std::string> readKey(const po::variables_map &values)
{
    if (values.count("key-file") == 0) {
        const char *key = std::getenv(keyVariable);
        return std::string(key == nullptr ? "" : key);
    }
    const auto path = values["key-file"].as<std::string>();
    BOOST_LEAF_AUTO(text, readTextFile(path));
    auto key = text.substr(0, text.find('\n'));
    key.erase(key.find_last_not_of(" \t\r") + 1);
    if (key.empty())
        return usageError(path + ": the first line must hold the operators' key");
    return key;
}

Result<std::optional<ConfigurationVersion>> readExpected(const po::variables_map &values,
                                                         std::string_view command)
{
    if (values.count("expected") == 0)
        return std::optional<ConfigurationVersion>();
    if (command != "apply")
        return usageError("--expected is for apply only; see --help");
    const auto &text = values["expected"].as<std::string>();
    ConfigurationVersion version = 0;
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, version);
    if (result.ec != std::errc() || result.ptr != end)
        return usageError("--expected: \"" + text + "\" is not a version, which is a number");
    return std::optional(version);
}

Result<std::vector<HttpEndpoint>> readAddresses(const po::variables_map &values)
{
    if (values.count("address") == 0)
        return std::vector<HttpEndpoint>{{"127.0.0.1", 8301}};
    std::vector<HttpEndpoint> addresses;
    for (const auto &text : values["address"].as<std::vector<std::string>>()) {
        auto endpoint = parseEndpoint(text);
        if (!endpoint || !isIpNumber(endpoint->host))
            return usageError("--address: \"" + text + "\" is not <IP number>:<port>");
        addresses.push_back(std::move(*endpoint));
    }
    return addresses;
}

Result<po::variables_map> parse(std::span<const std::string> arguments)
{
    po::options_description all(visibleOptions());
    all.add_options()("command", po::value<std::string>())("arguments",
                                                           po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("command", 1).add("arguments", -1);
    // Boost.Program_options reports errors by exceptions.
    try {
        po::variables_map values;
        const std::vector<std::string> copy(arguments.begin(), arguments.end());
        po::store(po::command_line_parser(copy).options(all).positional(positional).run(), values);
        po::notify(values);
        return values;
    } catch (const po::error &error) {
        return usageError(std::string(error.what()) + "; see --help");
    }
}

} // namespace

std::string controlHelp()
{
    std::ostringstream text;
    text << "Usage: shallotwalkctl [options] <command> [arguments]\n\n"
            "Commands:\n"
            "  validate FILE   check a file with the two tables, without a proxy\n"
            "  diff FILE       show what FILE would change\n"
            "  apply FILE      put the tables in FILE in force on all proxies\n"
            "  show            print the tables in force\n"
            "  status          print a summary of the proxy's state\n"
            "  fleet           compare the proxies at all given addresses\n"
            "  dump            print the state of every actor as JSON\n"
            "  story WORD FILE...  print the log lines about a statement's id, a server or a "
            "service, in order\n"
            "  drain           let the proxy finish its open work and end\n\n"
         << visibleOptions()
         << "\nExit codes: 0 success, 1 failure or unhealthy fleet, 2 wrong usage, 3 conflict with "
            "another version,\n"
            "4 no answer came, so that the change or drain may still take effect.\n";
    return text.str();
}

Result<ControlOptions> parseControlOptions(std::span<const std::string> arguments)
{
    BOOST_LEAF_AUTO(values, parse(arguments));
    ControlOptions options;
    options.help = values.count("help") != 0;
    options.version = values.count("version") != 0;
    options.json = values.count("json") != 0;
    if (options.help || options.version)
        return options;
    BOOST_LEAF_ASSIGN(options.addresses, readAddresses(values));
    BOOST_LEAF_ASSIGN(options.key, readKey(values));
    if (values.count("command") == 0)
        return usageError("a command is missing; see --help");
    options.command = values["command"].as<std::string>();
    if (options.addresses.size() > 1 && options.command != "fleet")
        return usageError("several --address are for fleet only; see --help");
    if (values.count("arguments") != 0)
        options.arguments = values["arguments"].as<std::vector<std::string>>();
    BOOST_LEAF_ASSIGN(options.expected, readExpected(values, options.command));
    return options;
}

} // namespace shallotwalk
