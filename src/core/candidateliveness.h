#pragma once

#include "core/ownerrecord.h"
#include "core/ownershipsettings.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Which candidates of one database are live members that stay, and by whom those that aren't are
/// replaced. Not thread-safe.
class CandidateLiveness
{
public:
    CandidateLiveness(std::string self, const OwnershipSettings &settings);

    /// The live members that aren't leaving, by their rank for this database.
    void rankingChanged(std::vector<std::string> ranking, TimePoint now);

    /// The record names \a candidates.
    void candidatesChanged(std::span<const std::string> candidates, TimePoint now);

    /// Forgets since when candidates are dead, at a change of owner.
    void reset() { deadSince_.clear(); }

    /// Whether \a vm is this proxy, or a live member that isn't leaving.
    bool isAlive(std::string_view vm) const;

    /// Whether the list of VMs shows this proxy as leaving.
    bool selfLeaves() const;

    /// Since when this proxy has ranked first; nothing if it doesn't.
    const std::optional<TimePoint> &firstRanked() const { return firstRanked_; }

    const std::vector<std::string> &ranking() const { return ranking_; }

    /// \a record under the next epoch for the first live candidate other than this proxy.
    std::optional<OwnerRecord> handover(const OwnerRecord &record) const;

    /// \a record with a candidate replaced or added at \a now, if that is due and possible.
    std::optional<OwnerRecord> changedList(const OwnerRecord &record, TimePoint now) const;

    /// First time at which changedList() gives a record; TimePoint::max() if it stays empty.
    TimePoint changeDue(const OwnerRecord &record) const;

private:
    /// When \a vm is to be replaced; TimePoint::max() while it is alive.
    TimePoint replacementDue(const std::string &vm) const;
    std::vector<std::string>::const_iterator spare(const OwnerRecord &record) const;

    std::string self_;
    Duration candidateDead_;
    std::size_t candidateCount_;
    std::vector<std::string> ranking_;
    std::optional<TimePoint> firstRanked_;
    std::map<std::string, TimePoint, std::less<>> deadSince_; ///< Only of candidates.
};

} // namespace shallotwalk
