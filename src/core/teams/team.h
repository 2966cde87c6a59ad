#pragma once

#include "core/teams/keydigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// Limit on the operations of one team over all proxies together. An operation is a statement
/// outside of any transaction, or a whole transaction.
struct Quota
{
    double operationsPerSecond = 0;
    double burst = 0; ///< Operations that may run at once after an idle time.

    bool operator==(const Quota &) const = default;
};

/// One team: a group of callers that identify themselves by the same keys.
struct Team
{
    std::string name; ///< As backend servers are told it.
    std::vector<KeyDigest> keys;
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::optional<Quota> quota; ///< Empty: no limit.

    bool operator==(const Team &) const = default;
};

} // namespace shallotwalk
