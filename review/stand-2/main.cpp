#include "stand.h"

#include <boost/json.hpp>

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

namespace {

namespace json = boost::json;
using namespace stand;
using namespace std::chrono_literals;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

// Limits of one front machine of sites/lakour-skip.toml.
constexpr long memoryLimitMb = 390;
constexpr int configApplyMs = 3000;
constexpr int maxSkewMs = 12000;
constexpr int stableMs = 4000;

struct Proxy
{
    std::uint16_t clients = 0;
    std::uint16_t readiness = 0;
    std::string settings;
};

/// What all scenarios share: the platform, its databases and the proxies.
class Deployment
{
public:
    Deployment(const std::string &folder, Record &record, int proxies)
        : folder_(folder)
        , record_(record)
        , store_(record)
        , cloud_([this](Connection &connection) { serveCloud(connection); })
    {
        databases_.push_back(std::make_unique<Databases>(record, store_, "rounds-db", 3));
        databases_.push_back(std::make_unique<Databases>(record, store_, "skips-db", 3));
        for (int i = 0; i < proxies; ++i)
            addProxy(i);
    }

    Store &store() { return store_; }
    Databases &databases(std::size_t index) { return *databases_.at(index); }
    const Proxy &proxy(std::size_t index) const { return proxies_.at(index); }
    std::size_t proxies() const { return proxies_.size(); }
    bool trouble() const
    {
        const char *value = std::getenv("TROUBLE");
        return value == nullptr || std::string(value) != "0";
    }

    /// Writes a configuration with a route for each of \a routes, host and service.
    std::int64_t configure(int version,
                           const std::vector<std::pair<std::string, std::string>> &routes)
    {
        json::array list;
        for (const auto &[host, service] : routes) {
            list.push_back(json::object{{"name", "r-" + host},
                                        {"host", host},
                                        {"service", service},
                                        {"route_type", "primary"},
                                        {"timeout_ms", 3000},
                                        {"goal_ms", 1000},
                                        {"priority", 1}});
        }
        const json::array services{json::object{{"name", "rounds-db"}, {"max_conns", 16}},
                                   json::object{{"name", "skips-db"}, {"max_conns", 16}}};
        return store_.put("op/config", json::serialize(json::object{
                                           {"version", version},
                                           {"routes", std::move(list)},
                                           {"services", services},
                                           {"limits", json::object{{"tx_idle_ms", 3000}}}}));
    }

    /// Lets run.sh start the proxies, and waits until all are ready.
    bool startProxies()
    {
        {
            std::ofstream list(folder_ + "/proxies.part");
            for (const auto &proxy : proxies_)
                list << proxy.settings << '\n';
        }
        std::filesystem::rename(folder_ + "/proxies.part", folder_ + "/proxies");
        const auto end = Clock::now() + 20s;
        for (std::size_t i = 0; i < proxies_.size(); ++i) {
            while (!ready(i, 1000ms)) {
                if (Clock::now() > end) {
                    record_.line("a proxy did not become ready");
                    return false;
                }
                std::this_thread::sleep_for(50ms);
            }
        }
        record_.line("all proxies are ready");
        return true;
    }

    bool ready(std::size_t proxy, Milliseconds limit)
    {
        return getStatus(proxies_.at(proxy).readiness, "/shallotwalk/readiness", limit) == 200;
    }

    /// Resident memory of a proxy in MB; -1 if its process has ended.
    long memoryMb(std::size_t proxy)
    {
        std::ifstream status("/proc/" + std::to_string(pid(proxy)) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6) / 1024;
        }
        return -1;
    }

    /// Sends \a signal to a proxy. Returns whether it runs.
    bool signal(std::size_t proxy, int signal)
    {
        const auto pid = this->pid(proxy);
        return pid > 0 && ::kill(pid, signal) == 0;
    }

private:
    pid_t pid(std::size_t proxy) const
    {
        std::ifstream pids(folder_ + "/pids");
        std::string line;
        for (std::size_t i = 0; i <= proxy; ++i)
            std::getline(pids, line);
        return std::atoi(line.c_str());
    }

    void addProxy(int index)
    {
        Proxy proxy;
        const auto ports = freePorts(6);
        proxy.clients = ports;
        proxy.readiness = static_cast<std::uint16_t>(ports + 1);
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        const auto name = "front-nord-a-" + std::to_string(index + 1);
        const json::object settings{
            {"node_name", name},
            {"role", "proxy"},
            {"machine_class", "front"},
            {"serves", json::array{"front"}},
            {"ip", "127.0.0.1"},
            {"zone", "nord-a"},
            {"region", "nord"},
            {"zones", json::object{{"nord-a", "nord"}}},
            {"listen", json::object{{"front", address(ports)}, {"ready", address(ports + 1)}}},
            {"internal_ports", json::array{ports + 2, ports + 5}},
            {"seeds", json::array{}},
            {"bootstrap", true},
            {"limits", json::object{{"cpu_share", 0.38},
                                    {"cores", 1},
                                    {"memory_mb", memoryLimitMb},
                                    {"max_fds", 6300},
                                    {"link_mbps", 1500.0},
                                    {"disk_mb", 0}}},
            {"data_dir", nullptr},
            {"discovery", "platform"},
            {"heartbeat_ms", 1200},
            {"contracts",
             json::array{"base", "drain", "config", "cost", "recover", "sql", "platform"}},
            {"bounds", json::object{{"stable_ms", stableMs},
                                    {"ack_ms", 5000},
                                    {"drain_ms", 7000},
                                    {"grace_s", 6},
                                    {"config_apply_ms", configApplyMs},
                                    {"back_ms", 250},
                                    {"max_skew_ms", maxSkewMs},
                                    {"recover_s", 12},
                                    {"fencing_required", true}}},
            {"platform", json::object{{"address", address(store_.port())},
                                      {"form", "kv"},
                                      {"writes_per_s", 400},
                                      {"reads_per_s", 2000},
                                      {"history_s", 20},
                                      {"value_bytes", 1048576},
                                      {"ttl_min_ms", 1000}}},
            {"cloud_api", json::object{{"address", address(cloud_.port())},
                                       {"rate_per_s", 50.0},
                                       {"duties", json::array{"promotion"}},
                                       {"duty_per_s", 50.0}}}};
        proxy.settings = folder_ + "/" + name + ".json";
        std::ofstream(proxy.settings) << json::serialize(settings);
        proxies_.push_back(std::move(proxy));
    }

    void serveCloud(Connection &connection)
    {
        while (const auto request = readRequest(connection)) {
            const auto body = json::parse(request->body).as_object();
            const std::string service(body.at("service").as_string());
            const std::string id(body.at("id").as_string());
            const auto token = std::stoll(request->headers.at("x-fencing-token"));
            bool done = false;
            for (const auto &group : databases_) {
                if (group->service() == service)
                    done = group->promote(id, token);
            }
            record_.line("platform: promote " + id + " with token " + std::to_string(token) + " by "
                         + request->headers.at("x-duty-holder") + ": " + (done ? "200" : "409"));
            if (!respond(connection, done ? 200 : 409, "{}"))
                return;
        }
    }

    std::string folder_;
    Record &record_;
    Store store_;
    Listener cloud_;
    std::vector<std::unique_ptr<Databases>> databases_;
    std::vector<Proxy> proxies_;
};

long long millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count();
}

/// The store comes back from a copy, and the operator changes the configuration.
int restoreStore(Deployment &deployment, Record &record)
{
    auto &store = deployment.store();
    deployment.configure(3, {{"rounds", "rounds-db"}, {"slots", "rounds-db"}});
    if (!deployment.startProxies())
        return notRun;
    std::this_thread::sleep_for(Milliseconds(stableMs + 2000));
    store.takeCopy();
    std::this_thread::sleep_for(1000ms);
    // A replica is replaced, and the operator adds a route.
    deployment.databases(0).add();
    deployment.configure(5,
                         {{"rounds", "rounds-db"}, {"slots", "rounds-db"}, {"extra", "rounds-db"}});
    deployment.databases(0).setState(2, "draining");
    std::this_thread::sleep_for(300ms);
    for (std::size_t i = 0; i < deployment.proxies(); ++i) {
        Client client(record, "client of proxy " + std::to_string(i + 1),
                      deployment.proxy(i).clients);
        if (!client.start("extra").ok())
            return notRun;
    }
    record.line("version 5 is in force on all proxies");
    if (deployment.trouble())
        store.goAway();
    std::this_thread::sleep_for(1200ms);
    if (deployment.trouble())
        store.comeBack(true);
    // Written again: by the operator at once, by the databases with their next heartbeats.
    if (deployment.trouble())
        store.writeAgain("op/");
    std::this_thread::sleep_for(100ms);
    deployment.configure(8,
                         {{"rounds", "rounds-db"}, {"slots", "skips-db"}, {"later", "rounds-db"}});
    const auto acknowledged = Clock::now();
    record.line("version 8 is acknowledged: \"slots\" leads to skips-db, \"extra\" is dropped, "
                "\"later\" is added");
    std::this_thread::sleep_for(200ms);
    if (deployment.trouble())
        store.writeAgain("servers/");
    const auto wait = Milliseconds(stableMs + configApplyMs + maxSkewMs + 3000);
    std::this_thread::sleep_until(acknowledged + wait);
    int wrong = 0;
    for (std::size_t i = 0; i < deployment.proxies(); ++i) {
        const auto port = deployment.proxy(i).clients;
        const auto name = "proxy " + std::to_string(i + 1) + ", "
                          + std::to_string(millisecondsSince(acknowledged)) + " ms after: ";
        Client slots(record, "client \"slots\" of proxy " + std::to_string(i + 1), port);
        slots.start("slots");
        const auto id = "slots-" + std::to_string(i + 1);
        const auto read = slots.query(id, "READ a");
        Client extra(record, "client \"extra\" of proxy " + std::to_string(i + 1), port);
        const auto dropped = extra.start("extra");
        Client later(record, "client \"later\" of proxy " + std::to_string(i + 1), port);
        const auto added = later.start("later");
        record.line(name + "READ on \"slots\": " + read.text());
        record.line(name + "START extra: " + dropped.text() + "; START later: " + added.text());
        bool oldService = false;
        for (const auto &run : deployment.databases(0).runs())
            oldService = oldService || run.id == id;
        if (oldService)
            record.line("run by the old service: " + id);
        wrong += oldService || dropped.ok() || added.error == "NODB" ? 1 : 0;
    }
    return wrong == 0 ? held : broken;
}

/// A client that receives a long answer steadily, while its proxy is stopped with SIGTERM.
int stopDuringAnswer(Deployment &deployment, Record &record)
{
    constexpr int rows = 8;
    constexpr auto work = 500ms;
    constexpr auto sentAfterSignal = 1900ms;
    // 64 KiB each 15 ms are 35 Mbit/s, so the whole answer takes about 2 s.
    constexpr std::size_t bytesPerRead = 64 * 1024;
    constexpr auto readInterval = 15ms;
    deployment.databases(0).setReport(work, rows);
    deployment.configure(3, {{"rounds", "rounds-db"}});
    if (!deployment.startProxies())
        return notRun;
    Client client(record, "client", deployment.proxy(0).clients, 128 * 1024);
    if (!client.start("rounds").ok() || !client.query("o1", "READ a").ok())
        return notRun;
    std::this_thread::sleep_for(Milliseconds(stableMs + 1000));
    if (deployment.trouble()) {
        deployment.signal(0, SIGTERM);
        record.line("SIGTERM to proxy 1; grace_s 6");
    }
    const auto signalled = Clock::now();
    std::this_thread::sleep_for(sentAfterSignal);
    const auto start = Clock::now();
    if (!client.connection()->write("QUERY o2 READ report\r\n"))
        return notRun;
    record.line("sent by client: QUERY o2 READ report");
    std::string tail;
    std::size_t received = 0;
    bool complete = false;
    bool ended = false;
    while (!complete) {
        const auto bytes = client.connection()->readSome(bytesPerRead, 5000ms);
        if (bytes.empty())
            break;
        if (received == 0)
            record.line("the answer begins to arrive");
        received += bytes.size();
        tail = (tail + bytes).substr(std::max<std::size_t>(tail.size() + bytes.size(), 200) - 200);
        complete = tail.find("\r\nREADY ") != std::string::npos && tail.ends_with("\r\n");
        if (!ended && deployment.memoryMb(0) < 0) {
            ended = true;
            record.line("the process of proxy 1 has ended, "
                        + std::to_string(millisecondsSince(signalled)) + " ms after SIGTERM");
        }
        std::this_thread::sleep_for(readInterval);
    }
    record.line("answered to client: " + std::to_string(received) + " bytes of the answer, "
                + (complete ? "complete" : "then the connection ended without the rest") + ", "
                + std::to_string(millisecondsSince(start)) + " ms after the request");
    return complete ? held : broken;
}

} // namespace

/// Plays one scenario. Arguments: its name, the number of proxies, a temporary folder in which
/// run.sh finds the settings of the proxies, and the record file.
int main(int argc, char **argv)
{
    if (argc != 5)
        return notRun;
    const std::string scenario = argv[1];
    Record record(argv[4]);
    record.line("scenario " + scenario + ", TROUBLE="
                + (std::getenv("TROUBLE") == nullptr ? "1" : std::getenv("TROUBLE")));
    Deployment deployment(argv[3], record, std::atoi(argv[2]));
    int result = notRun;
    if (scenario == "stop")
        result = stopDuringAnswer(deployment, record);
    else if (scenario == "restore")
        result = restoreStore(deployment, record);
    record.line("result " + std::to_string(result)
                + (result == held     ? ": held"
                   : result == broken ? ": broken"
                                      : ": not run"));
    std::fflush(nullptr);
    std::_Exit(result);
}
