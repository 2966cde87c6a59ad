#pragma once

#include "core/tables.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace shallotwalk {

/// One pool of the tables and the routes to it. A search of 4,700 rows several times for each
/// statement would cost more than the statement.
class PoolView
{
public:
    /// \pre \a tables hold \a pool.
    PoolView(std::shared_ptr<const Tables> tables, std::string_view pool);

    const Pool &pool() const { return *pool_; }

    /// The route to this pool with that name, or null.
    const Route *findRoute(std::string_view name) const;

private:
    std::shared_ptr<const Tables> tables_;
    const Pool *pool_;
    std::unordered_map<std::string_view, const Route *> routes_;
};

} // namespace shallotwalk
