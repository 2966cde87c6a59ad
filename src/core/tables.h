#pragma once

#include "core/teams/teamdirectory.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Counts the accepted versions of the two tables; 0 stands for none.
using ConfigurationVersion = std::uint64_t;

/// One server of a database group.
struct BackendServer
{
    std::string vm;
    std::string dataCentre;
    std::string host; ///< IP number.
    std::uint16_t port = 0;

    bool operator==(const BackendServer &) const = default;
};

/// How requests of a route share a database.
enum class WorkKind {
    Short,
    Long, ///< Limited to the pool's longSlots.
    Auto, ///< Classed by observed duration.
};

/// One row of the pools table: the backend servers behind a name.
struct Pool
{
    std::string name;
    std::vector<BackendServer> servers;
    std::string databaseName;
    std::string user;
    std::uint32_t connectionLimit = 16; ///< Over all servers and proxies, with the monitors.
    std::uint32_t longSlots = 2;        ///< Long requests that may run at once.
    std::uint32_t confirmReplicas = 1;  ///< Replicas that must hold a write before its answer.

    bool operator==(const Pool &) const = default;
};

/// One row of the routes table: which callers go to which pool.
struct Route
{
    std::string name;
    std::vector<std::string> callers; ///< Names, or the single entry "*" for all.
    std::string service;
    std::string database; ///< Name within the service, or "*".
    std::string pool;
    WorkKind kind = WorkKind::Short;
    Duration maxStaleness{0}; ///< 0: reads cover the last acknowledged write.
    Duration timeout{std::chrono::seconds(5)};
    Duration goal{0}; ///< Latency objective; 0: none. Work that would miss it is refused early.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t weight = 1;
    std::uint32_t queueLimit = 200;
    bool requireRequestKey = true;
    bool anonymous = false; ///< Callers need no key even if the tables have teams.

    bool operator==(const Route &) const = default;
};

/// One version of both tables. They change together.
struct Tables
{
    ConfigurationVersion version = 0;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    /// Teams whose callers identify themselves by keys. Null: callers need no key.
    std::shared_ptr<const TeamDirectory> teams;

    /// The pool named \a name, or null. The pointer lives as long as the tables.
    const Pool *findPool(std::string_view name) const;

    /// The route named \a name, or null. The pointer lives as long as the tables.
    const Route *findRoute(std::string_view name) const;
};

/// A rule that the tables break.
struct TableProblem
{
    std::string path; ///< JSON path of the value.
    std::string message;
};

/// Checks names, references, limits and ranges. Empty when the tables are valid. Thread-safe.
std::vector<TableProblem> validate(const Tables &tables);

} // namespace shallotwalk
