#include "control/fleetreport.h"

#include "control/controlclient.h"
#include "control/statedump.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iomanip>

namespace shallotwalk {

namespace json = boost::json;

namespace {

constexpr unsigned statusOk = 200;

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    json::error_code error;
    const auto number = value != nullptr && value->is_number()
                            ? value->to_number<std::uint64_t>(error)
                            : std::uint64_t{0};
    return error ? 0 : number;
}

bool flagOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

void readState(const json::value &state, ProxyReport &report)
{
    visitObjects(state, {"tables_version", "owners"}, [&](const json::object &dispatcher) {
        report.tablesVersion = numberOf(dispatcher, "tables_version");
        for (const auto &entry : objectOf(dispatcher.at("owners")))
            report.owners.emplace(entry.key(), textOf(objectOf(entry.value()), "owner"));
    });
    visitDatabases(state, [&](const json::object &database) {
        if (flagOf(database, "serving"))
            report.serving.emplace(textOf(database, "pool"), numberOf(database, "epoch"));
    });
}

Result<void> readInto(ControlClient &client, ProxyReport &report)
{
    BOOST_LEAF_AUTO(readiness, client.call("GET", "/readyz"));
    report.ready = readiness.status == statusOk;
    if (!report.ready)
        report.reason = textOf(objectOf(readiness.body), "reason");
    BOOST_LEAF_AUTO(state, client.call("GET", "/v1/state"));
    if (state.status == statusOk)
        readState(state.body, report);
    else
        report.error = "status " + std::to_string(state.status) + ": "
                       + textOf(objectOf(state.body), "message");
    return {};
}

std::string readinessText(const ProxyReport &proxy)
{
    if (!proxy.error.empty())
        return "no: " + proxy.error;
    return proxy.ready ? "yes" : "no: " + proxy.reason;
}

} // namespace

ProxyReport readProxy(const HttpEndpoint &address, std::string_view key)
{
    ProxyReport report;
    report.address = toString(address);
    ControlClient client(address, std::string(key));
    boost::leaf::try_handle_all([&] { return readInto(client, report); },
                                [&](const Failure &failure) { report.error = failure.message; },
                                [&] { report.error = "internal error"; });
    return report;
}

FleetReport::FleetReport(std::vector<ProxyReport> proxies)
    : proxies_(std::move(proxies))
{
    findProxyProblems();
    findDatabaseProblems();
}

void FleetReport::findProxyProblems()
{
    ConfigurationVersion newest = 0;
    for (const auto &proxy : proxies_)
        newest = std::max(newest, proxy.tablesVersion);
    for (const auto &proxy : proxies_) {
        if (!proxy.error.empty()) {
            problems_.push_back(proxy.address + ": " + proxy.error);
            continue;
        }
        if (!proxy.ready)
            problems_.push_back(proxy.address + ": not ready: " + proxy.reason);
        if (proxy.tablesVersion != newest) {
            problems_.push_back(proxy.address + ": version " + std::to_string(proxy.tablesVersion)
                                + " of the tables is in force, version " + std::to_string(newest)
                                + " elsewhere");
        }
    }
}

void FleetReport::findDatabaseProblems()
{
    std::map<std::string_view, std::vector<std::string_view>> serving;
    std::map<std::string_view, std::string_view> owners;
    for (const auto &proxy : proxies_) {
        for (const auto &[database, owner] : proxy.owners)
            owners.emplace(database, owner);
        for (const auto &[database, epoch] : proxy.serving)
            serving[database].push_back(proxy.address);
    }
    for (const auto &[database, owner] : owners) {
        if (!serving.contains(database)) {
            problems_.push_back("database " + std::string(database)
                                + ": served by none of these proxies; its record names "
                                + std::string(owner));
        }
    }
    for (const auto &[database, addresses] : serving) {
        if (addresses.size() > 1) {
            problems_.push_back("database " + std::string(database) + ": "
                                + std::string(addresses[0]) + " and " + std::string(addresses[1])
                                + " both report that they serve it");
        }
    }
}

void FleetReport::print(std::ostream &out) const
{
    out << std::left << std::setw(24) << "proxy" << std::setw(9) << "tables" << std::setw(9)
        << "serving"
        << "ready\n";
    for (const auto &proxy : proxies_) {
        out << std::setw(24) << proxy.address << std::setw(9) << proxy.tablesVersion << std::setw(9)
            << proxy.serving.size() << readinessText(proxy) << '\n';
    }
    out << '\n';
    for (const auto &problem : problems_)
        out << "problem: " << problem << '\n';
    if (problems_.empty())
        out << "no problems\n";
}

json::value FleetReport::toJson() const
{
    json::array proxies;
    for (const auto &proxy : proxies_) {
        json::object serving;
        for (const auto &[database, epoch] : proxy.serving)
            serving[database] = epoch;
        proxies.push_back(json::object{{"address", proxy.address},
                                       {"error", proxy.error},
                                       {"ready", proxy.ready},
                                       {"reason", proxy.reason},
                                       {"tables_version", proxy.tablesVersion},
                                       {"serving", std::move(serving)}});
    }
    return json::object{{"proxies", std::move(proxies)},
                        {"problems", json::array(problems_.begin(), problems_.end())}};
}

} // namespace shallotwalk
