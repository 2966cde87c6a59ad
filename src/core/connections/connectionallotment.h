#pragma once

#include "core/time.h"

#include <cstddef>

namespace shallotwalk {

/// How many connections to each server of a pool one proxy may hold, and for how long.
struct ConnectionAllotment
{
    std::size_t share = 1; ///< Connections that the proxy may keep.
    /// Connections that the proxy may hold for a short time, those of the share included, if the
    /// server accepts them.
    std::size_t burst = 1;
    /// Whether the proxy keeps one connection to each server even without requests. Otherwise it
    /// opens each connection for a request.
    bool standing = true;
    /// Idle time after which a connection is closed, except for the one that is kept.
    Duration idleLimit{std::chrono::milliseconds(1500)};
    /// Longest delay between two attempts to open a connection to a server that refuses them.
    Duration longestRetryDelay{std::chrono::milliseconds(100)};

    bool operator==(const ConnectionAllotment &) const = default;
};

/// Divides \a limit, the connections that a server accepts from all proxies together, among
/// \a proxies proxies. It answers two loads. In a fleet that is larger than the limit, the proxies
/// that start first would take all connections if each kept one, and the others would never be
/// served. In a fleet that has lost power, the server counts the connections of before for some
/// seconds. Where connections are scarce, they are opened on demand and given back the sooner the
/// scarcer they are. Thread-safe.
ConnectionAllotment allotConnections(std::size_t limit, std::size_t proxies);

} // namespace shallotwalk
