#pragma once

#include "core/replicapolicy.h"

namespace shallotwalk {

/// Sends a read to the qualifying replica with the fewest busy connections, ties by rotation. The
/// primary is used only when no replica qualifies.
class PositionAwarePolicy : public ReplicaPolicy
{
public:
    std::optional<std::size_t> choose(const ReadRequirement &requirement,
                                      std::span<const ServerStatus> servers,
                                      std::optional<std::size_t> primary, TimePoint now) override;

private:
    std::size_t first_ = 0; ///< Where the next search begins.
};

} // namespace shallotwalk
