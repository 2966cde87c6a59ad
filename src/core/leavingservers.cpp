#include "core/leavingservers.h"

#include <algorithm>

namespace shallotwalk {

LeavingServers::LeavingServers(Duration retention)
    : retention_(retention)
{
}

void LeavingServers::update(std::span<const VmEntry> entries, TimePoint now)
{
    // Without a list in between, a VM was last seen leaving just before this list.
    for (auto &[vm, until] : leavingUntil_) {
        if (!until)
            until = now + retention_;
    }
    for (const auto &entry : entries) {
        if (entry.leaving)
            leavingUntil_.insert_or_assign(entry.vm, std::nullopt);
    }
    std::erase_if(leavingUntil_, [&](const auto &item) { return !counts(item.second, now); });
}

bool LeavingServers::isLeaving(std::string_view vm, TimePoint now) const
{
    const auto found = leavingUntil_.find(vm);
    return found != leavingUntil_.end() && counts(found->second, now);
}

std::vector<std::string> LeavingServers::leaving(TimePoint now) const
{
    std::vector<std::string> names;
    for (const auto &[vm, until] : leavingUntil_) {
        if (counts(until, now))
            names.push_back(vm);
    }
    return names;
}

TimePoint LeavingServers::nextDue(TimePoint now) const
{
    auto due = TimePoint::max();
    for (const auto &[vm, until] : leavingUntil_) {
        if (until && now < *until)
            due = std::min(due, *until);
    }
    return due;
}

bool LeavingServers::counts(const std::optional<TimePoint> &until, TimePoint now)
{
    return !until || now < *until;
}

} // namespace shallotwalk
