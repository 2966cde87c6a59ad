#pragma once

#include "core/teams/team.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotwalk {

/// A team, or a key, of a configuration that can't be used.
struct TeamProblem
{
    std::string team;
    std::string message; ///< Never holds a key.

    bool operator==(const TeamProblem &) const = default;
};

/// The teams of one version of the configuration. An ambiguous entry admits nobody: a team that
/// stands twice is left out, and a key that two teams hold belongs to neither. Immutable, thus
/// thread-safe.
class TeamDirectory
{
public:
    TeamDirectory() = default;
    explicit TeamDirectory(std::vector<Team> teams);

    /// Returns the team that holds \a key, or null. The pointer lives as long as the directory.
    const Team *findByKey(const KeyDigest &key) const;

    /// Returns the team named \a name, or null. The pointer lives as long as the directory.
    const Team *find(std::string_view name) const;

    std::span<const Team> teams() const { return teams_; }

    /// Returns what was left out.
    std::span<const TeamProblem> problems() const { return problems_; }

    bool operator==(const TeamDirectory &other) const { return teams_ == other.teams_; }

private:
    std::vector<Team> teams_;
    std::map<std::string, std::size_t, std::less<>> byName_; ///< Index in teams_.
    std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> byKey_;
    std::vector<TeamProblem> problems_;
};

} // namespace shallotwalk
