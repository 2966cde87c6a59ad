#include "core/connections/connectionallotment.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Lower bound on ConnectionAllotment::burst. A transaction keeps its connection while its client
/// pauses; with a single connection, it would block all other statements.
constexpr std::size_t minBurst = 3;

/// Connections to each server for each proxy, at least, for connections to be kept without
/// requests. With fewer, the connections of a fleet that has lost power leave too few for its
/// successors.
constexpr std::size_t minSpareShare = 2;

/// Idle time after which an unneeded connection is closed where connections are plenty.
constexpr Duration plentyIdleLimit = std::chrono::milliseconds(1500);
/// The same where there is one connection for each proxy.
constexpr Duration scarceIdleLimit = std::chrono::milliseconds(500);
/// Shorter than this, a connection would be closed between two statements of one operation.
constexpr Duration shortestIdleLimit = std::chrono::milliseconds(20);

/// Bound on the attempts of the whole fleet to open connections to one server that refuses them.
constexpr double refusedOpeningsPerSecond = 40;
constexpr Duration shortestRetryDelay = std::chrono::milliseconds(100);
constexpr Duration longestRetryDelay = std::chrono::milliseconds(5000);

} // namespace

ConnectionAllotment allotConnections(std::size_t limit, std::size_t proxies)
{
    proxies = std::max<std::size_t>(proxies, 1);
    // A quarter of the limit stays free: a server counts the connections of a VM that lost power
    // for some seconds more, and the VM that replaces it needs connections meanwhile.
    const std::size_t shared = limit - limit / 4;
    ConnectionAllotment allotment;
    allotment.share = std::max<std::size_t>(shared / proxies, 1);
    allotment.burst = std::max(allotment.share, minBurst);
    allotment.standing = shared >= minSpareShare * proxies;
    allotment.idleLimit = plentyIdleLimit;
    if (!allotment.standing) {
        allotment.idleLimit = std::clamp<Duration>(scarceIdleLimit * shared / proxies,
                                                   shortestIdleLimit, scarceIdleLimit);
    }
    const std::chrono::duration<double> paced(static_cast<double>(proxies)
                                              / refusedOpeningsPerSecond);
    allotment.longestRetryDelay = std::clamp(std::chrono::duration_cast<Duration>(paced),
                                             shortestRetryDelay, longestRetryDelay);
    return allotment;
}

} // namespace shallotwalk
