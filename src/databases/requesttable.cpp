#include "databases/requesttable.h"

#include <vector>

namespace shallotwalk {

namespace {

// Requests that wait for a primary; beyond it they are refused at once.
constexpr std::size_t parkedLimit = 1000;

} // namespace

bool runsOnPrimary(const StatementRequest &request)
{
    return request.access == Access::Write || request.operation != Operation::Statement;
}

bool ran(const StatementReply &reply)
{
    return std::holds_alternative<StatementResult>(reply.outcome);
}

StatementReply failureReply(ErrorCode code, Verdict verdict, std::string message)
{
    return {Failure{code, verdict, std::move(message)}, std::nullopt, {}};
}

RequestTable::RequestTable(std::unique_ptr<AdmissionPolicy> admission)
    : admission_(std::move(admission))
{
}

WorkId RequestTable::add(StatementRequest request, caf::response_promise promise)
{
    const auto id = next_++;
    deadlines_.emplace(request.deadline, id);
    entries_.emplace(id, Entry{std::move(request), std::move(promise), Stage::Queued, false, {}});
    return id;
}

RequestTable::Entry *RequestTable::find(WorkId id)
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

const RequestTable::Entry *RequestTable::find(WorkId id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

void RequestTable::submit(WorkId id, const Route *route, const Capacity &capacity, TimePoint now)
{
    const auto &request = entries_.at(id).request;
    WorkItem item;
    item.id = id;
    item.route = request.route;
    item.caller = request.caller;
    if (route != nullptr) {
        item.kind = route->kind;
        item.weight = route->weight;
        item.queueLimit = route->queueLimit;
    }
    item.arrival = now;
    item.deadline = request.deadline;
    if (const auto refusal = admission_->submit(item, capacity, now)) {
        ++counters_.refused;
        finish(id, *refusal, now);
    }
}

std::optional<WorkId> RequestTable::admit(const Capacity &capacity, TimePoint now)
{
    const auto id = admission_->next(capacity, now);
    if (id) {
        entries_.at(*id).admitted = true;
        ++active_;
    }
    return id;
}

void RequestTable::park(WorkId id, const Failure &reason, TimePoint now)
{
    if (parked_.size() >= parkedLimit) {
        finish(id, reason, now);
        return;
    }
    if (std::exchange(entries_.at(id).admitted, false)) {
        --active_;
        admission_->abandoned(id, now);
    }
    parked_.push_back(id);
}

void RequestTable::passPlace(WorkId id)
{
    entries_.at(id).admitted = false;
}

void RequestTable::releasePlace(WorkId id, TimePoint now)
{
    --active_;
    admission_->completed(id, now);
}

void RequestTable::expire(TimePoint now)
{
    expiredAt_ = now;
    for (const auto &refused : admission_->expire(now)) {
        ++counters_.refused;
        finish(refused.id, refused.failure, now);
    }
    std::vector<WorkId> expired;
    for (const auto &[deadline, id] : deadlines_) {
        if (deadline > now)
            break;
        if (entries_.at(id).stage == Stage::Waiting)
            expired.push_back(id);
    }
    for (const auto id : expired) {
        ++counters_.refused;
        finish(id,
               {ErrorCode::DeadlineExceeded, Verdict::DidNotRun,
                "the deadline passed before a backend server was free"},
               now);
    }
}

TimePoint RequestTable::nextDue(TimePoint now) const
{
    auto due = admission_->nextDue(now);
    for (const auto &[deadline, id] : deadlines_) {
        // A request may have begun to wait after its deadline, when a primary failed.
        if (deadline > expiredAt_ || entries_.at(id).stage == Stage::Waiting)
            return std::min(due, deadline);
    }
    return due;
}

void RequestTable::finish(WorkId id, StatementReply reply, TimePoint now)
{
    auto node = entries_.extract(id);
    if (node.empty())
        return;
    auto &entry = node.mapped();
    deadlines_.erase({entry.request.deadline, id});
    if (entry.admitted)
        releasePlace(id, now);
    if (const auto *result = std::get_if<StatementResult>(&reply.outcome);
        result != nullptr && !runsOnPrimary(entry.request))
        ++(result->fromReplica ? counters_.replicaReads : counters_.primaryReads);
    entry.promise.deliver(std::move(reply));
}

void RequestTable::finish(WorkId id, const Failure &failure, TimePoint now)
{
    finish(id, StatementReply{failure, std::nullopt, {}}, now);
}

void RequestTable::acknowledge(WorkId id, Position position, TimePoint now)
{
    auto *entry = find(id);
    if (entry == nullptr || !entry->reply)
        return;
    ++counters_.acknowledgedWrites;
    auto reply = std::move(*entry->reply);
    std::get<StatementResult>(reply.outcome).position = position;
    finish(id, std::move(reply), now);
}

void RequestTable::failAll(std::string_view reason)
{
    // A promise holds its actor, so that open ones would also keep an ended actor in memory.
    deadlines_.clear();
    for (auto &[id, entry] : std::exchange(entries_, {})) {
        const bool started = entry.stage == Stage::Running || entry.stage == Stage::Confirming;
        const bool mayHaveRun = started && runsOnPrimary(entry.request);
        entry.promise.deliver(failureReply(ErrorCode::NotOwner,
                                           mayHaveRun ? Verdict::MayHaveRun : Verdict::DidNotRun,
                                           std::string(reason)));
    }
}

} // namespace shallotwalk
