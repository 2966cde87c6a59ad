#include "core/watcherselection.h"

#include <algorithm>
#include <iterator>

namespace shallotwalk {

std::vector<std::string> selectWatchers(std::string_view dataCentre,
                                        std::span<const CandidateVm> members)
{
    std::vector<CandidateVm> local;
    std::copy_if(members.begin(), members.end(), std::back_inserter(local),
                 [&](const CandidateVm &member) { return member.dataCentre == dataCentre; });
    return rankCandidates(dataCentre, local, watchersPerDataCentre);
}

} // namespace shallotwalk
