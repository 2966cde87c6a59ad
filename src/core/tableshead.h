#pragma once

#include "core/tables.h"

#include <string>
#include <vector>

namespace shallotwalk {

/// Names one version of the tables: the value that is swapped to put it into force.
struct TablesHead
{
    ConfigurationVersion version = 0;
    std::string editId;             ///< Unique for each proposed change.
    std::vector<std::string> parts; ///< Content hashes, in order.

    bool operator==(const TablesHead &) const = default;
};

} // namespace shallotwalk
