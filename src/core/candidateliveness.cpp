#include "core/candidateliveness.h"

#include <algorithm>
#include <utility>

namespace shallotwalk {

namespace {

bool contains(std::span<const std::string> list, std::string_view vm)
{
    return std::find(list.begin(), list.end(), vm) != list.end();
}

} // namespace

CandidateLiveness::CandidateLiveness(std::string self, const OwnershipSettings &settings)
    : self_(std::move(self))
    , candidateDead_(settings.candidateDead)
    , candidateCount_(settings.candidateCount)
{
}

void CandidateLiveness::rankingChanged(std::vector<std::string> ranking, TimePoint now)
{
    ranking_ = std::move(ranking);
    const bool first = !ranking_.empty() && ranking_.front() == self_;
    if (!first)
        firstRanked_.reset();
    else if (!firstRanked_)
        firstRanked_ = now;
}

void CandidateLiveness::candidatesChanged(std::span<const std::string> candidates, TimePoint now)
{
    std::erase_if(deadSince_, [&](const auto &item) {
        return !contains(candidates, item.first) || isAlive(item.first);
    });
    for (const auto &vm : candidates) {
        if (!isAlive(vm))
            deadSince_.try_emplace(vm, now);
    }
}

bool CandidateLiveness::isAlive(std::string_view vm) const
{
    return vm == self_ || contains(ranking_, vm);
}

bool CandidateLiveness::selfLeaves() const
{
    return !ranking_.empty() && !contains(ranking_, self_);
}

std::optional<OwnerRecord> CandidateLiveness::handover(const OwnerRecord &record) const
{
    for (const auto &vm : record.candidates) {
        if (vm == self_ || !isAlive(vm))
            continue;
        auto next = record;
        ++next.epoch;
        next.owner = vm;
        return next;
    }
    return std::nullopt;
}

std::optional<OwnerRecord> CandidateLiveness::changedList(const OwnerRecord &record,
                                                          TimePoint now) const
{
    if (now < changeDue(record))
        return std::nullopt;
    auto next = record;
    next.previousCandidates = record.candidates;
    next.served = false;
    const auto dead = std::find_if(next.candidates.begin(), next.candidates.end(),
                                   [&](const auto &vm) { return now >= replacementDue(vm); });
    if (dead == next.candidates.end())
        next.candidates.push_back(*spare(record));
    else
        *dead = *spare(record);
    return next;
}

TimePoint CandidateLiveness::changeDue(const OwnerRecord &record) const
{
    if (spare(record) == ranking_.end())
        return TimePoint::max();
    if (record.candidates.size() < candidateCount_)
        return TimePoint::min();
    auto due = TimePoint::max();
    for (const auto &vm : record.candidates)
        due = std::min(due, replacementDue(vm));
    return due;
}

TimePoint CandidateLiveness::replacementDue(const std::string &vm) const
{
    const auto found = deadSince_.find(vm);
    return found == deadSince_.end() ? TimePoint::max() : found->second + candidateDead_;
}

std::vector<std::string>::const_iterator CandidateLiveness::spare(const OwnerRecord &record) const
{
    return std::find_if(ranking_.begin(), ranking_.end(),
                        [&](const auto &vm) { return !contains(record.candidates, vm); });
}

} // namespace shallotwalk
