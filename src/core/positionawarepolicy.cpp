#include "core/positionawarepolicy.h"

#include "core/readeligibility.h"

namespace shallotwalk {

std::optional<std::size_t> PositionAwarePolicy::choose(const ReadRequirement &requirement,
                                                       std::span<const ServerStatus> servers,
                                                       std::optional<std::size_t> primary,
                                                       TimePoint now)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const std::size_t index = (first_ + i) % servers.size();
        if (index == primary || !mayServeRead(servers[index], requirement, now))
            continue;
        if (!best || servers[index].busyConnections < servers[*best].busyConnections)
            best = index;
    }
    if (best) {
        first_ = (*best + 1) % servers.size();
        return best;
    }
    if (primary && *primary < servers.size() && !servers[*primary].leaving)
        return primary;
    return std::nullopt;
}

} // namespace shallotwalk
