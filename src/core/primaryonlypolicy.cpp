#include "core/primaryonlypolicy.h"

namespace shallotwalk {

std::optional<std::size_t> PrimaryOnlyPolicy::choose(const ReadRequirement & /*requirement*/,
                                                     std::span<const ServerStatus> /*servers*/,
                                                     std::optional<std::size_t> primary,
                                                     TimePoint /*now*/)
{
    return primary;
}

} // namespace shallotwalk
