#include "core/fifopolicy.h"

#include <algorithm>

namespace shallotwalk {

std::optional<Failure> FifoPolicy::submit(const WorkItem &item, const Capacity & /*capacity*/,
                                          TimePoint /*now*/)
{
    if (queue_.size() >= item.queueLimit)
        return Failure{ErrorCode::QueueFull, Verdict::DidNotRun, "the queue is full"};
    queue_.push_back(item);
    return std::nullopt;
}

std::optional<WorkId> FifoPolicy::next(const Capacity &capacity, TimePoint /*now*/)
{
    if (queue_.empty() || capacity.busy >= capacity.total)
        return std::nullopt;
    const auto id = queue_.front().id;
    queue_.pop_front();
    return id;
}

std::optional<WorkId> FifoPolicy::nextOf(std::string_view caller, const Capacity &capacity,
                                         TimePoint /*now*/)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const WorkItem &item) { return item.caller == caller; });
    if (found == queue_.end() || capacity.busy >= capacity.total)
        return std::nullopt;
    const auto id = found->id;
    queue_.erase(found);
    return id;
}

std::vector<RefusedWork> FifoPolicy::expire(TimePoint now)
{
    std::vector<RefusedWork> refused;
    const auto expired = [now, &refused](const WorkItem &item) {
        if (item.deadline > now)
            return false;
        refused.push_back({item.id,
                           {ErrorCode::DeadlineExceeded, Verdict::DidNotRun,
                            "the deadline passed while the request was queued"}});
        return true;
    };
    std::erase_if(queue_, expired);
    return refused;
}

TimePoint FifoPolicy::nextDue(TimePoint /*now*/) const
{
    auto due = TimePoint::max();
    for (const auto &item : queue_)
        due = std::min(due, item.deadline);
    return due;
}

void FifoPolicy::completed(WorkId /*id*/, TimePoint /*now*/) {}

void FifoPolicy::abandoned(WorkId /*id*/, TimePoint /*now*/) {}

bool FifoPolicy::cancel(WorkId id)
{
    return std::erase_if(queue_, [id](const WorkItem &item) { return item.id == id; }) > 0;
}

} // namespace shallotwalk
