#include "core/teams/teamdirectory.h"

#include <algorithm>
#include <set>

namespace shallotwalk {

TeamDirectory::TeamDirectory(std::vector<Team> teams)
{
    std::map<std::string_view, std::size_t> entries;
    std::map<KeyDigest, std::set<std::string_view>> holders;
    for (const auto &team : teams) {
        ++entries[team.name];
        for (const auto &key : team.keys)
            holders[key].insert(team.name);
    }
    for (const auto &[name, count] : entries) {
        if (count > 1)
            problems_.push_back({std::string(name), "stands twice in the configuration"});
    }
    for (const auto &team : teams) {
        if (entries.at(team.name) > 1)
            continue;
        auto kept = team;
        const auto shared = std::erase_if(
            kept.keys, [&](const KeyDigest &key) { return holders.at(key).size() > 1; });
        if (shared > 0)
            problems_.push_back({kept.name, "holds a key that another team holds too"});
        if (kept.keys.empty())
            problems_.push_back({kept.name, "holds no usable key"});
        teams_.push_back(std::move(kept));
    }
    for (std::size_t i = 0; i < teams_.size(); ++i) {
        byName_.emplace(teams_[i].name, i);
        for (const auto &key : teams_[i].keys)
            byKey_.emplace(key, i);
    }
}

const Team *TeamDirectory::findByKey(const KeyDigest &key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &teams_[found->second];
}

const Team *TeamDirectory::find(std::string_view name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : &teams_[found->second];
}

} // namespace shallotwalk
