#include "core/readeligibility.h"

#include <algorithm>

namespace shallotwalk {

namespace {

// Five missed samples: the state of such a server is no longer known.
constexpr Duration longestSampleAge = std::chrono::seconds(1);

} // namespace

bool mayServeRead(const ServerStatus &server, const ReadRequirement &requirement, TimePoint now)
{
    if (!server.reachable || server.leaving || !server.inRecovery
        || server.received.term != requirement.currentTerm) {
        return false;
    }
    const Duration age = std::max(now - server.sampledAt, Duration::zero());
    if (age > longestSampleAge || server.replayed < requirement.position)
        return false;
    if (requirement.maxStaleness <= Duration::zero())
        return true;
    return server.lag && *server.lag + age <= requirement.maxStaleness;
}

} // namespace shallotwalk
