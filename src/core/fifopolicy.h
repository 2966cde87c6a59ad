#pragma once

#include "core/admissionpolicy.h"

#include <deque>

namespace shallotwalk {

/// Baseline that runs requests in order of arrival, with one bounded queue.
class FifoPolicy : public AdmissionPolicy
{
public:
    std::optional<Failure> submit(const WorkItem &item, const Capacity &capacity,
                                  TimePoint now) override;
    std::optional<WorkId> next(const Capacity &capacity, TimePoint now) override;
    std::optional<WorkId> nextOf(std::string_view caller, const Capacity &capacity,
                                 TimePoint now) override;
    std::vector<RefusedWork> expire(TimePoint now) override;
    TimePoint nextDue(TimePoint now) const override;
    void completed(WorkId id, TimePoint now) override;
    void abandoned(WorkId id, TimePoint now) override;
    bool cancel(WorkId id) override;
    std::size_t queued() const override { return queue_.size(); }

private:
    std::deque<WorkItem> queue_;
};

} // namespace shallotwalk
