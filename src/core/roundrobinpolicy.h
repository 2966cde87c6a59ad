#pragma once

#include "core/replicapolicy.h"

namespace shallotwalk {

/// Baseline that rotates over the primary and all replicas that qualify, whatever their load.
class RoundRobinPolicy : public ReplicaPolicy
{
public:
    std::optional<std::size_t> choose(const ReadRequirement &requirement,
                                      std::span<const ServerStatus> servers,
                                      std::optional<std::size_t> primary, TimePoint now) override;

private:
    std::size_t first_ = 0; ///< Where the next search begins.
};

} // namespace shallotwalk
