#include "core/roundrobinpolicy.h"

#include "core/readeligibility.h"

namespace shallotwalk {

std::optional<std::size_t> RoundRobinPolicy::choose(const ReadRequirement &requirement,
                                                    std::span<const ServerStatus> servers,
                                                    std::optional<std::size_t> primary,
                                                    TimePoint now)
{
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const std::size_t index = (first_ + i) % servers.size();
        const auto &server = servers[index];
        const bool usable = index == primary ? server.reachable && !server.leaving
                                             : mayServeRead(server, requirement, now);
        if (!usable)
            continue;
        first_ = (index + 1) % servers.size();
        return index;
    }
    return std::nullopt;
}

} // namespace shallotwalk
