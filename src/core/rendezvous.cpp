#include "core/rendezvous.h"

#include <xxhash.h>

namespace shallotwalk {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view vm)
{
    return XXH64(vm.data(), vm.size(), XXH64(key.data(), key.size(), 0));
}

} // namespace shallotwalk
