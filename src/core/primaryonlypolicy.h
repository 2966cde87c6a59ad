#pragma once

#include "core/replicapolicy.h"

namespace shallotwalk {

/// Baseline that sends every read to the primary.
class PrimaryOnlyPolicy : public ReplicaPolicy
{
public:
    std::optional<std::size_t> choose(const ReadRequirement &requirement,
                                      std::span<const ServerStatus> servers,
                                      std::optional<std::size_t> primary, TimePoint now) override;
};

} // namespace shallotwalk
