#pragma once

#include "core/statement.h"
#include "core/tables.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotwalk {

/// Finds the route of a request in one version of the tables. Immutable, thus thread-safe.
class Router
{
public:
    /// \pre \a tables is not null and valid.
    explicit Router(std::shared_ptr<const Tables> tables);

    /// Sets route, pool and the bounded deadline of \a request. A route that names the caller or
    /// the database goes before one with "*"; among equals the first in the table wins.
    /// Fails with ErrorCode::NoRoute or ErrorCode::RequestKeyRequired, verdict "did not run".
    Result<void> route(StatementRequest &request, TimePoint now) const;

    /// The route of \a request, which needs only its caller, service and database; null if there is
    /// none. The pointer lives as long as the router.
    const Route *find(const StatementRequest &request) const;

    const Tables &tables() const { return *tables_; }

private:
    using Routes = std::vector<const Route *>;
    using RoutesByDatabase = std::unordered_map<std::string_view, Routes>;

    std::shared_ptr<const Tables> tables_;
    /// Routes in the order of the table, by service and database. Points into tables_.
    std::unordered_map<std::string_view, RoutesByDatabase> routes_;
};

} // namespace shallotwalk
