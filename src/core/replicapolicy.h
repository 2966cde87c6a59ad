#pragma once

#include "core/serverstatus.h"

#include <cstddef>
#include <optional>
#include <span>

namespace shallotwalk {

/// What a read needs of the server that serves it.
struct ReadRequirement
{
    Position position;        ///< Must be replayed.
    Term currentTerm = 0;     ///< Servers of another term don't qualify.
    Duration maxStaleness{0}; ///< 0: the position alone decides.
};

/// Chooses the backend server of a read. Implementations are not thread-safe.
class ReplicaPolicy
{
public:
    virtual ~ReplicaPolicy() = default;

    /// Index into \a servers of the replica or primary to use; empty if none qualifies.
    /// \a primary is the index of the current primary, if there is one.
    virtual std::optional<std::size_t> choose(const ReadRequirement &requirement,
                                              std::span<const ServerStatus> servers,
                                              std::optional<std::size_t> primary,
                                              TimePoint now) = 0;
};

} // namespace shallotwalk
