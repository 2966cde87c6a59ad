#include "core/writefence.h"

#include <algorithm>

namespace shallotwalk {

namespace {

FailWrite superseded(WorkId id)
{
    return {id,
            {ErrorCode::Superseded, Verdict::MayHaveRun,
             "the primary was replaced before the write was confirmed"}};
}

} // namespace

void WriteFence::add(WorkId id, Position position, TimePoint deadline)
{
    writes_.insert_or_assign(id, Write{position, deadline});
}

GroupActions WriteFence::termChanged(const TermHistory &history, Term term)
{
    GroupActions actions;
    for (auto write = writes_.begin(); write != writes_.end();) {
        const auto check = history.check(write->second.position, term);
        if (check.outcome == SessionCheck::Outcome::Covered) {
            write->second.position = check.position;
            ++write;
        } else {
            actions.push_back(superseded(write->first));
            write = writes_.erase(write);
        }
    }
    return actions;
}

GroupActions WriteFence::release(const FenceView &view)
{
    GroupActions actions;
    std::erase_if(writes_, [&](const auto &entry) {
        const auto &[id, write] = entry;
        if (view.serving && view.confirmations.confirmed(write.position, view.served, view.servers)
            && view.leaseValid && write.position.term == view.served.term) {
            actions.push_back(Acknowledge{id, write.position});
            return true;
        }
        if (view.now < write.deadline)
            return false;
        actions.push_back(FailWrite{id,
                                    {ErrorCode::Unconfirmed, Verdict::MayHaveRun,
                                     "too few replicas confirmed the write in time"}});
        return true;
    });
    return actions;
}

GroupActions WriteFence::failAll()
{
    GroupActions actions;
    for (const auto &[id, write] : writes_)
        actions.push_back(superseded(id));
    writes_.clear();
    return actions;
}

TimePoint WriteFence::nextDue() const
{
    auto due = TimePoint::max();
    for (const auto &[id, write] : writes_)
        due = std::min(due, write.deadline);
    return due;
}

Position WriteFence::highest() const
{
    Position highest;
    for (const auto &[id, write] : writes_)
        highest = std::max(highest, write.position);
    return highest;
}

} // namespace shallotwalk
