#pragma once

#include <cstdint>
#include <string_view>

namespace shallotwalk {

/// Weight of \a vm for \a key in rendezvous hashing (xxHash). The same on all proxies.
/// Thread-safe.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view vm);

} // namespace shallotwalk
