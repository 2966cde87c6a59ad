#include "faults/fleet.h"

#include "support/freeports.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <stdlib.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace shallotwalk {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t databaseCount = 3;
constexpr std::size_t bodyLimit = std::size_t{4} << 20;
constexpr Duration callTimeout = 2s;
// The administration API answers an apply within 15 s.
constexpr Duration applyTimeout = 16s;
constexpr Duration startTimeout = 15s;
constexpr std::string_view operatorsKey = "fault-operators-key";

HttpResponse call(std::uint16_t port, std::string_view method, std::string_view target,
                  std::string_view body, std::span<const HttpHeader> headers = {})
{
    const auto limit = method == "PUT" ? applyTimeout : callTimeout;
    HttpClient client({"127.0.0.1", port}, bodyLimit);
    const auto now = BootClock().now();
    HttpResponse none;
    none.status = 0;
    return boost::leaf::try_handle_all(
        [&]() -> Result<HttpResponse> {
            return client.request(method, target, body, now + callTimeout, now + limit, headers);
        },
        [&] { return none; });
}

/// The first object below \a value that has a member \a name; null if there is none.
const json::value *findHolder(const json::value &value, std::string_view name)
{
    if (const auto *array = value.if_array()) {
        for (const auto &entry : *array) {
            if (const auto *found = findHolder(entry, name))
                return found;
        }
    } else if (const auto *object = value.if_object()) {
        if (object->contains(name))
            return &value;
        for (const auto &entry : *object) {
            if (const auto *found = findHolder(entry.value(), name))
                return found;
        }
    }
    return nullptr;
}

std::string vmName(std::size_t index)
{
    return "entry" + std::to_string(index + 1);
}

json::object address(std::uint16_t port)
{
    return {{"host", "127.0.0.1"}, {"port", port}};
}

} // namespace

Fleet::Fleet(std::size_t proxies, int replayLagMs, std::size_t dataCentres)
    : dataCentres_(dataCentres)
    , ports_(proxies)
    , proxies_(proxies)
{
    auto pattern = (std::filesystem::temp_directory_path() / "faults-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("mkdtemp failed");
    directory_ = pattern;
    const auto *logs = std::getenv("FAULTS_LOGS"); // NOLINT: no other thread changes it
    logs_ = logs != nullptr ? std::filesystem::path(logs) : directory_;
    store_ = std::make_unique<ChildProcess>(STANDIN_STORE, std::vector<std::string>{"--port", "0"});
    vmList_ =
        std::make_unique<ChildProcess>(STANDIN_VMLIST, std::vector<std::string>{"--port", "0"});
    startDatabases(replayLagMs);
    const auto free = freePorts(3 * proxies);
    for (std::size_t i = 0; i < proxies; ++i)
        ports_[i] = {free[3 * i], free[3 * i + 1], free[3 * i + 2]};
    publishVms({});
    for (std::size_t i = 0; i < proxies; ++i) {
        writeSettings(i);
        startProxy(i);
    }
    prepare();
}

Fleet::~Fleet()
{
    proxies_.clear();
    databases_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

void Fleet::startDatabases(int replayLagMs)
{
    std::vector<std::string> peers;
    for (std::size_t i = 0; i < databaseCount; ++i) {
        std::vector<std::string> arguments{"--vm", "db" + std::to_string(i + 1), "--directory",
                                           directory_.string()};
        if (i > 0) {
            arguments.insert(arguments.end(),
                             {"--replay-lag-ms", std::to_string(replayLagMs), "--follow"});
            arguments.insert(arguments.end(), peers.begin(), peers.end());
        }
        databases_.push_back(std::make_unique<ChildProcess>(STANDIN_POSTGRES, arguments));
        peers.push_back("127.0.0.1:" + std::to_string(databases_.back()->port()));
    }
    // A replica that is promoted is followed by the one that started before it.
    query(1, "SELECT standin_follow('" + peers[2] + "')");
}

void Fleet::writeSettings(std::size_t index) const
{
    json::array seeds;
    for (std::size_t i = 0; i < ports_.size(); ++i) {
        if (i != index)
            seeds.push_back(address(ports_[i].peers));
    }
    const auto &ports = ports_[index];
    const json::object settings{
        {"node",
         {{"vm", vmName(index)}, {"dataCentre", "dc" + std::to_string(index % dataCentres_)}}},
        {"listen",
         {{"callers", address(ports.callers)},
          {"peers", address(ports.peers)},
          {"administration", address(ports.administration)}}},
        {"platform",
         {{"store", json::array{address(store_->port())}}, {"vmList", address(vmList_->port())}}},
        {"seeds", seeds},
        {"keys",
         {{"session", "fault-session-key-1"},
          {"peers", "fault-peers-key-123"},
          {"operators", operatorsKey}}},
        {"drain", {{"delayMs", 300}, {"limitMs", 10000}}}};
    std::ofstream(directory_ / (vmName(index) + ".json")) << json::serialize(settings);
}

void Fleet::startProxy(std::size_t index)
{
    const auto name = vmName(index);
    // The shell only redirects the log and is replaced by the proxy.
    const std::vector<std::string> arguments{"-c", "exec \"$0\" --settings \"$1\" 2>>\"$2\"",
                                             SHALLOTWALKD, (directory_ / (name + ".json")).string(),
                                             (logs_ / (name + ".log")).string()};
    proxies_.at(index) = std::make_unique<ChildProcess>("/bin/sh", arguments, false);
}

void Fleet::restartProxy(std::size_t index)
{
    startProxy(index);
}

void Fleet::prepare()
{
    if (!waitFor(startTimeout, [this] { return apply(0, 0) == 200; }))
        throw std::runtime_error("the tables were not accepted");
    for (std::size_t i = 0; i < size(); ++i) {
        if (!waitFor(startTimeout, [&] { return isReady(i); }))
            throw std::runtime_error(vmName(i) + " is not ready");
    }
    Caller caller("hauler1", callerPorts());
    const auto created = caller.write("CREATE TABLE bookings(id integer, resident text)", {},
                                      Caller::newKey(), startTimeout);
    if (!created.ran())
        throw std::runtime_error("the database has no owner: " + created.error);
    // The owner swaps the replicas in as they catch up after the group's start. Until both are in,
    // a lost primary is a second fault at the same time.
    const auto settled = [this] {
        const auto database = databaseState();
        return database.is_object() && database.at("confirmation_set").as_array().size() == 2;
    };
    if (!waitFor(startTimeout, settled))
        throw std::runtime_error("the replicas do not confirm writes");
}

std::string Fleet::tables(int timeoutMs) const
{
    json::array servers;
    for (std::size_t i = 0; i < databaseCount; ++i) {
        auto server = address(databases_[i]->port());
        server["vm"] = "db" + std::to_string(i + 1);
        server["dataCentre"] = "dc" + std::to_string(i);
        servers.push_back(server);
    }
    const json::object tables{{"routes", json::array{{{"name", "bookings"},
                                                      {"callers", {"*"}},
                                                      {"service", "slots"},
                                                      {"database", "nord"},
                                                      {"pool", "slots-nord"},
                                                      {"timeoutMs", timeoutMs}}}},
                              {"pools", json::array{{{"name", "slots-nord"},
                                                     {"databaseName", "slots"},
                                                     {"user", "shallotwalk"},
                                                     {"connectionLimit", 16},
                                                     {"longSlots", 2},
                                                     {"confirmReplicas", 1},
                                                     {"servers", servers}}}}};
    return json::serialize(tables);
}

void Fleet::publishVms(const std::string &leaving) const
{
    json::array list;
    const auto add = [&](const std::string &vm, std::size_t centre, std::string_view role) {
        list.push_back({{"vm", vm},
                        {"host", "127.0.0.1"},
                        {"dataCentre", "dc" + std::to_string(centre)},
                        {"role", role},
                        {"state", vm == leaving ? "leaving" : "live"}});
    };
    for (std::size_t i = 0; i < ports_.size(); ++i)
        add(vmName(i), i % dataCentres_, "proxy");
    for (std::size_t i = 0; i < databaseCount; ++i)
        add("db" + std::to_string(i + 1), i, "database");
    call(vmList_->port(), "PUT", "/v1/vms", json::serialize(list));
}

void Fleet::setLeaving(const std::string &vm)
{
    publishVms(vm);
}

std::vector<std::uint16_t> Fleet::callerPorts(std::size_t first) const
{
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < ports_.size(); ++i)
        ports.push_back(ports_[(first + i) % ports_.size()].callers);
    return ports;
}

HttpResponse Fleet::administration(std::size_t proxy, std::string_view method,
                                   std::string_view target, std::string_view body,
                                   std::vector<HttpHeader> headers) const
{
    headers.emplace_back("Authorization", "Bearer " + std::string(operatorsKey));
    return call(ports_.at(proxy).administration, method, target, body, headers);
}

bool Fleet::isReady(std::size_t proxy) const
{
    return administration(proxy, "GET", "/readyz").status == 200;
}

unsigned Fleet::apply(std::size_t proxy, unsigned version, int timeoutMs) const
{
    return administration(proxy, "PUT", "/v1/tables", tables(timeoutMs),
                          {{"If-Match", "\"" + std::to_string(version) + "\""}})
        .status;
}

std::uint64_t Fleet::tablesVersion(std::size_t proxy) const
{
    const auto response = administration(proxy, "GET", "/v1/tables");
    if (response.status != 200)
        return 0;
    return json::parse(response.body).at("version").to_number<std::uint64_t>();
}

json::value Fleet::state(std::size_t proxy) const
{
    if (proxies_.at(proxy)->pid() <= 0)
        return {};
    const auto response = administration(proxy, "GET", "/v1/state");
    return response.status == 200 ? json::parse(response.body) : json::value();
}

json::object Fleet::feedState(std::size_t proxy) const
{
    const auto dump = state(proxy);
    const auto *holder = findHolder(dump, "heldRequests");
    return holder != nullptr ? holder->as_object() : json::object();
}

Fleet::Counters Fleet::counters() const
{
    const auto store = json::parse(call(store_->port(), "GET", "/counters", {}).body);
    const auto vms = json::parse(call(vmList_->port(), "GET", "/counters", {}).body);
    return {store.at("watches").as_int64(), store.at("reads").as_int64(),
            vms.at("reads").as_int64()};
}

std::size_t Fleet::owner(std::size_t except) const
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (i == except)
            continue;
        const auto dump = state(i);
        const auto *holder = findHolder(dump, "serving");
        if (holder != nullptr && holder->at("serving") == json::value(true))
            return i;
    }
    return size();
}

json::value Fleet::databaseState() const
{
    const auto index = owner();
    if (index == size())
        return {};
    const auto dump = state(index);
    const auto *holder = findHolder(dump, "confirmation_set");
    return holder != nullptr ? *holder : json::value();
}

std::string Fleet::query(std::size_t database, const std::string &sql) const
{
    const BootClock clock;
    const auto deadline = clock.now() + callTimeout;
    const SqlTarget target{"127.0.0.1", databases_.at(database)->port(), "slots", "test", "test",
                           false};
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(connection, PgConnection::connect(target, clock, deadline));
            BOOST_LEAF_AUTO(result, connection->execute(sql, {}, deadline));
            return result.rows.empty() ? std::string() : result.rows[0].at(0).value_or("null");
        },
        [](const Failure &failure) -> std::string { throw std::runtime_error(failure.message); },
        []() -> std::string { throw std::runtime_error("query failed"); });
}

std::set<int> Fleet::bookings(std::size_t database) const
{
    std::istringstream text(query(database, "SELECT group_concat(id) FROM bookings"));
    std::set<int> ids;
    for (std::string id; std::getline(text, id, ',');)
        ids.insert(std::stoi(id));
    return ids;
}

std::size_t Fleet::primary(std::size_t except) const
{
    std::size_t best = databaseCount;
    std::int64_t highest = -1;
    for (std::size_t i = 0; i < databaseCount; ++i) {
        if (i == except || databases_[i]->pid() <= 0)
            continue;
        const auto status = json::parse(query(i, "SELECT standin_status()"));
        const auto term = status.at("term").to_number<std::int64_t>();
        if (status.at("primary").as_bool() && term > highest) {
            highest = term;
            best = i;
        }
    }
    return best;
}

void Fleet::storeFault(const std::string &name, std::string_view body) const
{
    call(store_->port(), "POST", "/fault/" + name, body);
}

} // namespace shallotwalk
