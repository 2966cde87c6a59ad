#include "node/settings.h"

#include "core/ipnumber.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <sstream>

namespace shallotwalk {

namespace {

constexpr std::int64_t shortestKey = 16;
constexpr std::int64_t longestMs = 3600000;

std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Reads an address; \a lowestPort is 0 where the kernel may choose the port, else 1.
void readAddress(JsonReader &reader, Address &address, int lowestPort)
{
    reader.requiredText("host", address.host);
    if (!address.host.empty() && !isIpNumber(address.host))
        reader.problem("host", "\"" + address.host + "\" is not an IP number");
    reader.require("port");
    reader.integer("port", address.port, lowestPort, 65535);
}

void readAddresses(JsonReader &reader, std::string_view key, std::vector<Address> &addresses)
{
    reader.objects(key, [&](JsonReader &entry) {
        addresses.emplace_back();
        readAddress(entry, addresses.back(), 1);
    });
}

bool isUnspecified(std::string_view host)
{
    return host == "0.0.0.0" || host == "::";
}

bool overlap(const Address &one, const Address &other)
{
    return one.port != 0 && one.port == other.port
           && (one.host == other.host || isUnspecified(one.host) || isUnspecified(other.host));
}

void readNode(JsonReader &reader, Settings &settings)
{
    reader.requiredText("vm", settings.vm);
    reader.requiredText("dataCentre", settings.dataCentre);
    if (settings.vm.find_first_of("/\" \t\n") != std::string::npos)
        reader.problem("vm", "must not contain '/', quotes or white space");
}

void readListen(JsonReader &reader, Settings &settings)
{
    const auto address = [&reader](std::string_view key, Address &target) {
        reader.require(key);
        reader.object(key, [&target](JsonReader &entry) { readAddress(entry, target, 0); });
    };
    address("callers", settings.callers);
    address("peers", settings.peers);
    address("administration", settings.administration);
    if (isUnspecified(settings.peers.host)) {
        reader.problem("peers.host", "must be the IP number that other proxies connect to, not "
                                         + settings.peers.host);
    }
    if (overlap(settings.peers, settings.callers))
        reader.problem("peers.port", "must differ from the port of callers");
    if (overlap(settings.administration, settings.callers))
        reader.problem("administration.port", "must differ from the port of callers");
    if (overlap(settings.administration, settings.peers))
        reader.problem("administration.port", "must differ from the port of peers");
}

void readPlatform(JsonReader &reader, Settings &settings)
{
    reader.require("store");
    readAddresses(reader, "store", settings.store);
    if (reader.isEmptyArray("store"))
        reader.problem("store", "at least one address is required");
    reader.require("vmList");
    reader.object("vmList", [&](JsonReader &entry) { readAddress(entry, settings.vmList, 1); });
}

void readKey(JsonReader &reader, std::string_view key, std::string &target)
{
    reader.requiredText(key, target);
    if (!target.empty() && target.size() < static_cast<std::size_t>(shortestKey))
        reader.problem(key, "must have at least " + std::to_string(shortestKey) + " characters");
}

void readKeys(JsonReader &reader, Settings &settings)
{
    readKey(reader, "session", settings.sessionKey);
    readKey(reader, "peers", settings.peerKey);
    readKey(reader, "operators", settings.operatorsKey);
}

void readLimits(JsonReader &reader, Settings &settings)
{
    reader.integer("callerConnections", settings.callerConnectionLimit, 1, 1000000);
    reader.integer("headerBytes", settings.http.header, 1024, 1048576);
    reader.integer("bodyBytes", settings.http.body, 1024, 67108864);
    reader.milliseconds("transactionIdleMs", settings.database.transactionIdleLimit, 100,
                        longestMs);
    reader.integer("resultBytes", settings.database.resultBytes, 1024, largestResultBytes);
    reader.integer("connectionsOpening", settings.database.openingLimit, 1, 100);
}

void readDrain(JsonReader &reader, Settings &settings)
{
    reader.milliseconds("delayMs", settings.drain.delay, 0, longestMs);
    reader.milliseconds("idleMs", settings.drain.idle, 0, longestMs);
    reader.milliseconds("limitMs", settings.drain.limit, 100, longestMs);
    if (settings.drain.idle >= settings.drain.limit)
        reader.problem("idleMs", "must be less than limitMs, which is "
                                     + std::to_string(millisecondsOf(settings.drain.limit)));
}

void readOwnership(JsonReader &reader, Settings &settings)
{
    auto &ownership = settings.ownership;
    reader.milliseconds("promiseMs", ownership.promise, 500, 30000);
    reader.milliseconds("renewalMs", ownership.renewal, 50, 10000);
    if (ownership.renewal * 3 > ownership.promise)
        reader.problem("renewalMs", "must be at most a third of promiseMs, which is "
                                        + std::to_string(millisecondsOf(ownership.promise)));
}

void readPolicies(JsonReader &reader, Settings &settings)
{
    reader.choice("admission", settings.database.admission,
                  {{"fairShare", AdmissionChoice::FairShare}, {"fifo", AdmissionChoice::Fifo}});
    reader.choice("replicas", settings.database.replicas,
                  {{"positionAware", ReplicaChoice::PositionAware},
                   {"roundRobin", ReplicaChoice::RoundRobin},
                   {"primaryOnly", ReplicaChoice::PrimaryOnly}});
}

void readLog(JsonReader &reader, Settings &settings)
{
    reader.choice("format", settings.logFormat,
                  {{"text", LogFormat::Text}, {"json", LogFormat::Json}});
    reader.choice("level", settings.logLevel,
                  {{"debug", std::string("debug")},
                   {"info", std::string("info")},
                   {"warn", std::string("warn")},
                   {"error", std::string("error")}});
}

using Section = void (*)(JsonReader &, Settings &);

void readSection(JsonReader &reader, std::string_view key, bool required, Section section,
                 Settings &settings)
{
    if (required)
        reader.require(key);
    reader.object(key, [&](JsonReader &entry) { section(entry, settings); });
}

} // namespace

Result<Settings> parseSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJsonWithComments(text));
    Settings settings;
    std::vector<JsonProblem> problems;
    JsonReader reader(document, "", problems);
    readSection(reader, "node", true, readNode, settings);
    readSection(reader, "listen", true, readListen, settings);
    readSection(reader, "platform", true, readPlatform, settings);
    readAddresses(reader, "seeds", settings.seeds);
    readSection(reader, "keys", true, readKeys, settings);
    readSection(reader, "limits", false, readLimits, settings);
    readSection(reader, "drain", false, readDrain, settings);
    readSection(reader, "ownership", false, readOwnership, settings);
    readSection(reader, "policies", false, readPolicies, settings);
    readSection(reader, "log", false, readLog, settings);
    reader.reportUnknown();
    if (problems.empty())
        return settings;
    std::string message;
    for (const auto &problem : problems) {
        message +=
            (message.empty() ? "" : "\n")
            + (problem.path.empty() ? problem.message : problem.path + ": " + problem.message);
    }
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, std::move(message)});
}

Result<Settings> loadSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    std::optional<Failure> failure;
    auto settings = boost::leaf::try_handle_all([&] { return parseSettings(text); },
                                                [&](const Failure &error) {
                                                    failure = error;
                                                    return Settings{};
                                                },
                                                [&] {
                                                    failure = Failure{};
                                                    return Settings{};
                                                });
    if (!failure)
        return settings;
    std::istringstream lines(failure->message);
    std::string message;
    for (std::string line; std::getline(lines, line);) {
        message += message.empty() ? "" : "\n";
        message += path;
        message += ": ";
        message += line;
    }
    return boost::leaf::new_error(Failure{failure->code, failure->verdict, std::move(message)});
}

} // namespace shallotwalk
