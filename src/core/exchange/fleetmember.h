#pragma once

#include <cstdint>
#include <string>

namespace shallotwalk {

/// A proxy of the fleet, as its entry in the store describes it.
struct FleetMember
{
    std::string vm;
    std::string dataCentre; ///< Empty if the entry doesn't say.
    std::string host;       ///< IP address for messages of other proxies; empty: takes none.
    std::uint16_t port = 0;
    std::uint16_t quotaPort = 0; ///< For datagrams about quotas; 0: takes no part in them.

    bool operator==(const FleetMember &) const = default;
};

} // namespace shallotwalk
