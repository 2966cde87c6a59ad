#pragma once

#include "core/tables.h"

#include <string>
#include <vector>

namespace shallotwalk {

/// A row that differs between two versions of the tables.
struct RowChange
{
    enum class Kind { Added, Removed, Changed };

    std::string table; ///< "routes" or "pools".
    std::string name;
    Kind kind = Kind::Changed;

    bool operator==(const RowChange &) const = default;
};

/// The rows that \a after adds, removes or changes; rows are matched by name, so that their order
/// doesn't count. Thread-safe.
std::vector<RowChange> diffTables(const Tables &before, const Tables &after);

} // namespace shallotwalk
