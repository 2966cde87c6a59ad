#pragma once

#include "core/time.h"
#include "core/vmentry.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Decides which VMs count as leaving. The list of VMs lags behind and may show a leaving VM as
/// live again or drop it, so a VM stays leaving for a time after it was last seen leaving.
/// Not thread-safe.
class LeavingServers
{
public:
    explicit LeavingServers(Duration retention = std::chrono::seconds(60));

    /// Takes a list that was read at \a now. It may be called for each read or only for changed
    /// lists. Times must not decrease from call to call.
    void update(std::span<const VmEntry> entries, TimePoint now);

    /// True if \a vm must receive no new work.
    bool isLeaving(std::string_view vm, TimePoint now) const;

    /// All VMs that must receive no new work, in order of their names.
    std::vector<std::string> leaving(TimePoint now) const;

    /// Time after \a now at which leaving() changes without another list; TimePoint::max() if it
    /// doesn't.
    TimePoint nextDue(TimePoint now) const;

private:
    static bool counts(const std::optional<TimePoint> &until, TimePoint now);

    Duration retention_;
    /// For each VM the end of its retention; empty while the list shows it as leaving.
    std::map<std::string, std::optional<TimePoint>, std::less<>> leavingUntil_;
};

} // namespace shallotwalk
