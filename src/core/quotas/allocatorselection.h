#pragma once

#include <span>
#include <string>
#include <vector>

namespace shallotwalk {

/// Returns up to \a count of the proxies \a members that allocate quotas, sorted by name. A member
/// that joins or leaves changes at most one of them. Thread-safe.
std::vector<std::string> selectAllocators(std::span<const std::string> members, std::size_t count);

} // namespace shallotwalk
