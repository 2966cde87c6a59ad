#pragma once

#include "core/candidateranking.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Members of each data centre that watch the store.
inline constexpr std::size_t watchersPerDataCentre = 2;

/// The members of \a dataCentre that watch the store and poll the list of VMs, best-ranked first.
/// \a members are the live members of all data centres. Thread-safe.
std::vector<std::string> selectWatchers(std::string_view dataCentre,
                                        std::span<const CandidateVm> members);

} // namespace shallotwalk
