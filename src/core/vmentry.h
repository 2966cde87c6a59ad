#pragma once

#include <string>

namespace shallotwalk {

/// A VM's entry in the platform's list.
struct VmEntry
{
    std::string vm;
    std::string host;
    std::string dataCentre;
    std::string role; ///< "proxy" or "database".
    bool leaving = false;

    bool operator==(const VmEntry &) const = default;
};

} // namespace shallotwalk
