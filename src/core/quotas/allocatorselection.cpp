#include "core/quotas/allocatorselection.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr std::string_view selectionKey = "quota allocators";

} // namespace

std::vector<std::string> selectAllocators(std::span<const std::string> members, std::size_t count)
{
    std::vector<std::string> ranked(members.begin(), members.end());
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        const auto leftWeight = rendezvousWeight(selectionKey, left);
        const auto rightWeight = rendezvousWeight(selectionKey, right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    if (ranked.size() > count)
        ranked.resize(count);
    std::sort(ranked.begin(), ranked.end());
    return ranked;
}

} // namespace shallotwalk
