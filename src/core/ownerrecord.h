#pragma once

#include "core/position.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotwalk {

/// The record of one database in the store. Only a compare-and-swap changes it, and only a change
/// of owner, or a restart of the owner, raises the epoch.
struct OwnerRecord
{
    Epoch epoch = 0;
    std::string owner;
    std::vector<std::string> candidates;         ///< VMs that promise the database, by rank.
    std::vector<std::string> previousCandidates; ///< Empty unless a list change is outstanding.
    bool served = true; ///< False from a list change until the owner serves under both lists.
    std::vector<std::string> confirmationSet; ///< Section 6; empty until first set.
    std::uint32_t confirmCount = 0;           ///< Members of the set that must hold a write.

    bool operator==(const OwnerRecord &) const = default;
};

} // namespace shallotwalk
