#include "core/candidateranking.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace shallotwalk {

namespace {

struct Ranked
{
    std::size_t round = 0; ///< Better-ranked members of the same data centre.
    std::uint64_t weight = 0;
    const CandidateVm *member = nullptr;
};

bool ranksBefore(const Ranked &left, const Ranked &right)
{
    // The name decides between equal weights, so that all proxies agree.
    return std::tie(left.round, right.weight, left.member->vm)
           < std::tie(right.round, left.weight, right.member->vm);
}

} // namespace

std::vector<std::string> rankCandidates(std::string_view database,
                                        std::span<const CandidateVm> members, std::size_t count)
{
    std::vector<Ranked> ranked;
    ranked.reserve(members.size());
    for (const auto &member : members)
        ranked.push_back({0, rendezvousWeight(database, member.vm), &member});
    std::sort(ranked.begin(), ranked.end(), ranksBefore);
    std::map<std::string_view, std::size_t> perDataCentre;
    for (auto &entry : ranked)
        entry.round = perDataCentre[entry.member->dataCentre]++;
    std::stable_sort(ranked.begin(), ranked.end(), ranksBefore);
    std::vector<std::string> names;
    for (std::size_t index = 0; index < std::min(count, ranked.size()); ++index)
        names.push_back(ranked[index].member->vm);
    return names;
}

} // namespace shallotwalk
