#pragma once

#include "core/position.h"

#include <string>

namespace shallotwalk {

/// Who may own a database, as far as a proxy knows.
struct OwnerUpdate
{
    std::string database;
    Epoch epoch = 0;
    std::string owner;
};

} // namespace shallotwalk
