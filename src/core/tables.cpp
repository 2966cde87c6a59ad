#include "core/tables.h"

#include "core/ipnumber.h"
#include "core/tablesvalidation.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_set>

namespace shallotwalk {

namespace {

constexpr std::uint32_t maxConnections = 1000;
constexpr std::uint32_t maxQueueLimit = 100000;
constexpr std::uint32_t maxWeight = 1000;
constexpr Duration maxTimeout = std::chrono::hours(1);
constexpr Duration maxStalenessLimit = std::chrono::hours(1);

std::string pathOf(std::string_view table, std::size_t index)
{
    return std::string(table) + "[" + std::to_string(index) + "]";
}

/// Collects problems under the JSON path of one row.
class Checker
{
public:
    Checker(std::vector<TableProblem> &problems, std::string_view table, std::size_t index)
        : problems_(problems)
        , table_(table)
        , index_(index)
    {
    }

    void require(bool holds, std::string_view field, std::string message)
    {
        if (!holds)
            problems_.push_back(
                {pathOf(table_, index_) + "." + std::string(field), std::move(message)});
    }

    void requireRange(std::uint64_t value, std::uint64_t lowest, std::uint64_t highest,
                      std::string_view field)
    {
        require(value >= lowest && value <= highest, field,
                "value " + std::to_string(value) + " is outside " + std::to_string(lowest) + " to "
                    + std::to_string(highest));
    }

    void requireName(std::string_view name, std::string_view field)
    {
        const auto allowed = [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        };
        const bool valid =
            !name.empty() && name.size() <= 40 && std::all_of(name.begin(), name.end(), allowed);
        require(valid, field,
                "\"" + std::string(name.substr(0, 120))
                    + "\" is not a name of 1 to 40 letters, digits, '-', '_' or '.'");
    }

private:
    std::vector<TableProblem> &problems_;
    std::string_view table_;
    std::size_t index_;
};

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void checkPool(const Pool &pool, Checker check)
{
    check.requireName(pool.name, "name");
    check.require(!pool.servers.empty(), "servers", "a pool needs at least one backend server");
    check.requireName(pool.databaseName, "databaseName");
    check.require(!pool.user.empty(), "user", "must not be empty");
    check.requireRange(pool.connectionLimit, pool.servers.size() + 2, maxConnections,
                       "connectionLimit");
    check.requireRange(pool.longSlots, 0, pool.connectionLimit, "longSlots");
    check.requireRange(pool.confirmReplicas, 0, pool.servers.empty() ? 0 : pool.servers.size() - 1,
                       "confirmReplicas");
    std::set<std::string_view> vms;
    std::set<std::pair<std::string_view, std::uint16_t>> addresses;
    for (std::size_t i = 0; i < pool.servers.size(); ++i) {
        const auto &server = pool.servers[i];
        const auto field = "servers[" + std::to_string(i) + "]";
        check.requireName(server.vm, field + ".vm");
        check.require(vms.insert(server.vm).second, field + ".vm",
                      "\"" + server.vm + "\" stands twice in the pool");
        check.require(!server.dataCentre.empty(), field + ".dataCentre", "must not be empty");
        check.require(isIpNumber(server.host), field + ".host",
                      "\"" + server.host + "\" is not an IP number");
        check.require(addresses.emplace(server.host, server.port).second, field,
                      "address " + server.host + ":" + std::to_string(server.port)
                          + " stands twice in the pool");
        check.require(server.port != 0, field + ".port", "value 0 is outside 1 to 65535");
    }
}

/// Checks what a route says by itself up to its callers.
void checkCallers(const Route &route, Checker check)
{
    check.requireName(route.name, "name");
    check.requireName(route.service, "service");
    if (route.database != "*")
        check.requireName(route.database, "database");
    check.require(!route.callers.empty(), "callers", "a route needs at least one caller or \"*\"");
    for (std::size_t i = 0; i < route.callers.size(); ++i) {
        const auto &caller = route.callers[i];
        const auto field = "callers[" + std::to_string(i) + "]";
        check.require(!caller.empty(), field, "must not be empty");
        check.require(caller != "*" || route.callers.size() == 1, field,
                      "\"*\" stands for all callers and must be the only entry");
    }
}

/// Checks the limits of a route.
void checkLimits(const Route &route, Checker check)
{
    check.requireRange(route.weight, 1, maxWeight, "weight");
    check.requireRange(route.queueLimit, 1, maxQueueLimit, "queueLimit");
    check.require(route.timeout > Duration::zero() && route.timeout <= maxTimeout, "timeoutMs",
                  "value " + millisecondsText(route.timeout) + " is outside 1 to 3600000");
    check.require(route.maxStaleness >= Duration::zero() && route.maxStaleness <= maxStalenessLimit,
                  "maxStalenessMs",
                  "value " + millisecondsText(route.maxStaleness) + " is outside 0 to 3600000");
}

using Names = std::unordered_set<std::string_view>;

/// Adds a row's name to \a names and reports one that stands twice.
void checkUnique(Names &names, const std::string &name, std::string_view kind, Checker check)
{
    if (!names.insert(name).second)
        check.require(false, "name",
                      std::string(kind) + " \"" + name + "\" stands twice in the table");
}

void checkReference(const Route &route, const Names &pools, Checker check)
{
    if (!pools.contains(route.pool))
        check.require(false, "pool", "no pool is named \"" + route.pool + "\"");
}

struct CheckScope
{
    bool rows = false;       ///< What each row says by itself.
    bool references = false; ///< Unique names, and the pools of routes.
};

std::vector<TableProblem> checkTables(const Tables &tables, CheckScope scope)
{
    std::vector<TableProblem> problems;
    Names pools;
    for (std::size_t i = 0; i < tables.pools.size(); ++i) {
        const auto &pool = tables.pools[i];
        const Checker check(problems, "pools", i);
        if (scope.references)
            checkUnique(pools, pool.name, "pool", check);
        if (scope.rows)
            checkPool(pool, check);
    }
    Names routes;
    for (std::size_t i = 0; i < tables.routes.size(); ++i) {
        const auto &route = tables.routes[i];
        const Checker check(problems, "routes", i);
        if (scope.references)
            checkUnique(routes, route.name, "route", check);
        if (scope.rows)
            checkCallers(route, check);
        if (scope.references)
            checkReference(route, pools, check);
        if (scope.rows)
            checkLimits(route, check);
    }
    return problems;
}

template<class Row>
const Row *findByName(const std::vector<Row> &rows, std::string_view name)
{
    const auto found =
        std::find_if(rows.begin(), rows.end(), [name](const Row &row) { return row.name == name; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

const Pool *Tables::findPool(std::string_view name) const
{
    return findByName(pools, name);
}

const Route *Tables::findRoute(std::string_view name) const
{
    return findByName(routes, name);
}

std::vector<TableProblem> validateRows(const Tables &tables)
{
    return checkTables(tables, {.rows = true, .references = false});
}

std::vector<TableProblem> validateReferences(const Tables &tables)
{
    return checkTables(tables, {.rows = false, .references = true});
}

std::vector<TableProblem> validate(const Tables &tables)
{
    return checkTables(tables, {.rows = true, .references = true});
}

} // namespace shallotwalk
