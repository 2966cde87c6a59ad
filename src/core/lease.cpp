#include "core/lease.h"

#include <algorithm>
#include <vector>

namespace shallotwalk {

Lease::Lease(Duration promise, int marginPercent)
    : usable_(promise * (100 - marginPercent) / 100)
{
}

void Lease::reset()
{
    requests_.clear();
    until_.clear();
}

void Lease::sent(const std::string &vm, std::uint64_t sequence, TimePoint now)
{
    // A reply to an older request would give a promise that has already expired.
    std::erase_if(requests_, [&](const auto &item) { return item.second.sentAt + usable_ < now; });
    requests_[sequence] = {vm, now};
}

void Lease::granted(const PromiseReply &reply)
{
    const auto found = requests_.find(reply.sequence);
    if (found == requests_.end() || found->second.vm != reply.candidate)
        return;
    auto &until = until_[reply.candidate];
    until = std::max(until, found->second.sentAt + usable_);
    requests_.erase(found);
}

TimePoint Lease::end(std::span<const std::string> candidates) const
{
    std::vector<TimePoint> ends;
    for (const auto &vm : candidates) {
        const auto found = until_.find(vm);
        ends.push_back(found == until_.end() ? TimePoint::min() : found->second);
    }
    if (ends.empty())
        return TimePoint::min();
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[ends.size() / 2];
}

} // namespace shallotwalk
