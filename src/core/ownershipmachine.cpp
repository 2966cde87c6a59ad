#include "core/ownershipmachine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace shallotwalk {

namespace {

bool contains(std::span<const std::string> list, std::string_view vm)
{
    return std::find(list.begin(), list.end(), vm) != list.end();
}

} // namespace

OwnershipMachine::OwnershipMachine(std::string database, std::string self,
                                   OwnershipSettings settings, TimePoint now)
    : database_(std::move(database))
    , self_(std::move(self))
    , settings_(settings)
    , nextSwap_(now)
    , nextRead_(now)
    , lease_(settings.promise, settings.marginPercent)
    , queries_(settings.query, 0)
    , liveness_(self_, settings)
    , heard_(now)
    , lastEvent_(now)
{
}

OwnershipActions OwnershipMachine::tick(TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    updateServing(now, actions);
    checkStore(now, actions);
    if (finished_)
        return actions;
    if (!record_) {
        createRecord(now, actions);
    } else if (ownsRecord()) {
        askPromises(now, actions);
        changeRecord(now, actions);
    } else if (isCandidate()) {
        takeOver(now, actions);
    }
    return actions;
}

OwnershipActions OwnershipMachine::recordSeen(const std::optional<OwnerRecord> &record,
                                              std::int64_t revision, RecordSource source,
                                              TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    if (source == RecordSource::StoreRead) {
        unresolved_ = false;
        if (!firstReadEpoch_)
            firstReadEpoch_ = record ? record->epoch : 0;
    }
    adopt(record, revision, now, actions);
    return actions;
}

OwnershipActions OwnershipMachine::swapAnswered(std::uint64_t id, SwapOutcome outcome,
                                                std::int64_t revision, TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    if (!pending_ || pending_->swap.id != id) {
        // A late answer to a swap that was taken as unknown.
        if (outcome == SwapOutcome::Swapped)
            read(now, actions);
        return actions;
    }
    if (outcome == SwapOutcome::Unknown) {
        swapUnknown(now, actions);
        return actions;
    }
    const auto record = pending_->swap.record;
    pending_.reset();
    if (outcome == SwapOutcome::Swapped) {
        adopt(record, revision, now, actions);
    } else {
        // Whoever won has just shown a sign of life.
        heard_ = now;
        unresolved_ = true;
        read(now, actions);
    }
    return actions;
}

OwnershipActions OwnershipMachine::promiseReplied(const PromiseReply &reply, TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    if (!record_ || reply.database != database_)
        return actions;
    if (reply.granted) {
        queries_.granted(reply);
        // A reply to a former process of this proxy may bear the same number, but a lower epoch.
        if (reply.epoch == record_->epoch)
            lease_.granted(reply);
        updateServing(now, actions);
        if (ownsRecord())
            changeRecord(now, actions);
    } else if (reply.highestEpoch > record_->epoch) {
        if (now >= nextRead_)
            read(now, actions);
    } else if (const auto found = nextRequests_.find(reply.candidate);
               found != nextRequests_.end()) {
        // The former owner's release may arrive at any moment after a handover.
        const bool justNamed = now - heard_ < settings_.promise;
        const auto pause =
            justNamed ? settings_.refusedRetry : std::max(settings_.refusedRetry, reply.remaining);
        found->second = std::min(found->second, now + pause);
    }
    return actions;
}

OwnershipActions OwnershipMachine::ownerHeard(const PromiseRequest &request, TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    if (request.database != database_ || request.release || request.query || request.owner == self_)
        return actions;
    const auto epoch = record_ ? record_->epoch : 0;
    if (request.epoch >= epoch)
        heard_ = now;
    if (request.epoch > epoch && now >= nextRead_)
        read(now, actions);
    return actions;
}

OwnershipActions OwnershipMachine::membersChanged(std::vector<std::string> ranking, TimePoint now)
{
    noteTime(now);
    liveness_.rankingChanged(std::move(ranking), now);
    reviewCandidates(now);
    return {};
}

OwnershipActions OwnershipMachine::drain(TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    draining_ = true;
    nextSwap_ = std::min(nextSwap_, now);
    if (ownsRecord())
        changeRecord(now, actions);
    return actions;
}

OwnershipActions OwnershipMachine::finish()
{
    OwnershipActions actions;
    draining_ = true;
    finished_ = true;
    stop(StopReason::Drained, actions);
    if (ownsRecord())
        releaseAll(promisers(), record_->epoch, actions);
    lease_.reset();
    return actions;
}

OwnershipActions OwnershipMachine::changeConfirmation(std::vector<std::string> members,
                                                      std::uint32_t count, TimePoint now)
{
    noteTime(now);
    OwnershipActions actions;
    if (!mayServe(now) || !maySwap(now))
        return actions;
    auto record = *record_;
    record.confirmationSet = std::move(members);
    record.confirmCount = count;
    swap(std::move(record), now, actions);
    return actions;
}

bool OwnershipMachine::mayServe(TimePoint now) const
{
    return !finished_ && now < leaseEnd();
}

TimePoint OwnershipMachine::leaseEnd() const
{
    return ownsRecord() ? majorityEnd(lease_) : TimePoint::min();
}

TimePoint OwnershipMachine::majorityEnd(const Lease &lease) const
{
    const auto end = lease.end(record_->candidates);
    if (record_->previousCandidates.empty())
        return end;
    return std::min(end, lease.end(record_->previousCandidates));
}

bool OwnershipMachine::ownsRecord() const
{
    return record_ && record_->owner == self_ && firstReadEpoch_
           && record_->epoch > *firstReadEpoch_;
}

bool OwnershipMachine::isCandidate() const
{
    return contains(record_->candidates, self_);
}

std::vector<std::string> OwnershipMachine::promisers() const
{
    auto vms = record_->candidates;
    for (const auto &vm : record_->previousCandidates) {
        if (!contains(vms, vm))
            vms.push_back(vm);
    }
    return vms;
}

Duration OwnershipMachine::jitter(Duration longest) const
{
    // A function of the name, so that a run can be repeated.
    constexpr std::uint64_t steps = 1024;
    const auto step = XXH64(database_.data(), database_.size(), 0) % steps;
    return longest * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(steps);
}

TimePoint OwnershipMachine::takeoverTime() const
{
    if (record_->owner == self_) // A former process of this proxy: nobody to wait for.
        return TimePoint::min();
    int rank = 0;
    for (const auto &vm : record_->candidates) {
        if (vm == self_)
            break;
        if (vm != record_->owner)
            ++rank;
    }
    if (liveness_.selfLeaves()) // After all candidates that stay.
        rank = static_cast<int>(record_->candidates.size());
    return heard_ + settings_.promise + rank * settings_.rankDelay
           + jitter(settings_.takeoverJitter);
}

void OwnershipMachine::adopt(const std::optional<OwnerRecord> &record, std::int64_t revision,
                             TimePoint now, OwnershipActions &actions)
{
    if (!record || revision <= revision_)
        return;
    const bool ownerChanged = !record_ || record_->epoch != record->epoch;
    const bool owned = ownsRecord();
    const auto formerEpoch = record_ ? record_->epoch : 0;
    const auto formerPromisers = owned ? promisers() : std::vector<std::string>();
    record_ = record;
    revision_ = revision;
    if (ownerChanged) {
        if (owned) {
            stop(draining_ ? StopReason::Drained : StopReason::Superseded, actions);
            releaseAll(formerPromisers, formerEpoch, actions);
        }
        lease_.reset();
        queries_.reset();
        nextRequests_.clear();
        liveness_.reset();
        heard_ = now;
    }
    reviewCandidates(now);
    updateServing(now, actions);
    if (ownsRecord() && !finished_)
        askPromises(now, actions);
}

void OwnershipMachine::releaseAll(std::span<const std::string> vms, Epoch epoch,
                                  OwnershipActions &actions)
{
    for (const auto &vm : vms) {
        auto request = makeRequest(epoch);
        request.release = true;
        actions.emplace_back(AskPromise{vm, std::move(request)});
    }
}

void OwnershipMachine::stop(StopReason reason, OwnershipActions &actions)
{
    if (std::exchange(serving_, false))
        actions.emplace_back(StopServing{servedEpoch_, reason});
}

void OwnershipMachine::updateServing(TimePoint now, OwnershipActions &actions)
{
    if (!mayServe(now)) {
        stop(StopReason::LeaseExpired, actions);
    } else if (!serving_) {
        serving_ = true;
        servedEpoch_ = record_->epoch;
        actions.emplace_back(BeginServing{servedEpoch_});
    }
}

void OwnershipMachine::swap(OwnerRecord record, TimePoint now, OwnershipActions &actions)
{
    SwapRecord swap{++lastSwap_, std::move(record), revision_};
    pending_ = PendingSwap{swap, now};
    actions.emplace_back(std::move(swap));
}

void OwnershipMachine::swapUnknown(TimePoint now, OwnershipActions &actions)
{
    pending_.reset();
    unresolved_ = true;
    nextSwap_ = now + settings_.storeRetry + jitter(settings_.storeRetry);
    read(now, actions);
}

void OwnershipMachine::read(TimePoint now, OwnershipActions &actions)
{
    nextRead_ = now + settings_.storeRetry + jitter(settings_.storeRetry);
    actions.emplace_back(ReadRecord{});
}

void OwnershipMachine::checkStore(TimePoint now, OwnershipActions &actions)
{
    if (pending_ && now - pending_->sentAt >= settings_.storeTimeout)
        swapUnknown(now, actions);
    else if (readNeeded() && !finished_ && now >= nextRead_)
        read(now, actions);
}

void OwnershipMachine::createRecord(TimePoint now, OwnershipActions &actions)
{
    if (now < creationDue())
        return;
    const auto &ranking = liveness_.ranking();
    OwnerRecord record;
    record.epoch = 1;
    record.owner = self_;
    const auto count = std::min(settings_.candidateCount, ranking.size());
    record.candidates.assign(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count));
    swap(std::move(record), now, actions);
}

void OwnershipMachine::takeOver(TimePoint now, OwnershipActions &actions)
{
    if (draining_ || !maySwap(now) || now < takeoverTime())
        return;
    // A candidate that alone has lost the owner would otherwise take over again and again.
    if (now >= majorityEnd(queries_)) {
        query(now, actions);
        return;
    }
    auto record = *record_;
    ++record.epoch;
    record.owner = self_;
    swap(std::move(record), now, actions);
}

void OwnershipMachine::query(TimePoint now, OwnershipActions &actions)
{
    if (now < nextQuery_)
        return;
    nextQuery_ = now + settings_.queryRetry;
    for (const auto &vm : promisers()) {
        auto request = makeRequest(record_->epoch + 1);
        request.query = true;
        queries_.sent(vm, request.sequence, now);
        actions.emplace_back(AskPromise{vm, std::move(request)});
    }
}

PromiseRequest OwnershipMachine::makeRequest(Epoch epoch)
{
    PromiseRequest request;
    request.database = database_;
    request.epoch = epoch;
    request.owner = self_;
    request.sequence = ++lastSequence_;
    request.duration = settings_.promise;
    return request;
}

void OwnershipMachine::askPromises(TimePoint now, OwnershipActions &actions)
{
    const bool renewal = mayServe(now);
    for (const auto &vm : promisers()) {
        auto &next = nextRequests_[vm];
        if (now < next)
            continue;
        next = now + settings_.renewal;
        auto request = makeRequest(record_->epoch);
        lease_.sent(vm, request.sequence, now);
        request.renewal = renewal;
        actions.emplace_back(AskPromise{vm, std::move(request)});
    }
}

void OwnershipMachine::changeRecord(TimePoint now, OwnershipActions &actions)
{
    if (!maySwap(now))
        return;
    std::optional<OwnerRecord> next;
    if (draining_) {
        next = liveness_.handover(*record_);
    } else if (mayServe(now) && !record_->served) {
        next = *record_;
        next->previousCandidates.clear();
        next->served = true;
    } else if (mayServe(now)) {
        next = liveness_.changedList(*record_, now);
    }
    if (next)
        swap(std::move(*next), now, actions);
}

void OwnershipMachine::reviewCandidates(TimePoint now)
{
    if (!record_)
        return;
    std::erase_if(nextRequests_,
                  [vms = promisers()](const auto &item) { return !contains(vms, item.first); });
    liveness_.candidatesChanged(record_->candidates, now);
}

void OwnershipMachine::noteTime(TimePoint now)
{
    // The due time itself may lie far back, as when the store has been down since.
    if (now - std::max(nextDue(), lastEvent_) > settings_.longestTimerDelay)
        heard_ = now;
    lastEvent_ = now;
}

TimePoint OwnershipMachine::nextDue() const
{
    if (finished_)
        return TimePoint::max();
    auto due = storeDue();
    if (serving_)
        due = std::min(due, leaseEnd());
    if (!record_)
        return std::min(due, creationDue());
    if (ownsRecord())
        return std::min({due, renewalDue(), changeDue()});
    return isCandidate() ? std::min(due, takeoverDue()) : due;
}

TimePoint OwnershipMachine::storeDue() const
{
    auto due = readNeeded() ? nextRead_ : TimePoint::max();
    if (pending_)
        due = std::min(due, pending_->sentAt + settings_.storeTimeout);
    return due;
}

TimePoint OwnershipMachine::creationDue() const
{
    if (draining_ || !liveness_.firstRanked() || !canSwap())
        return TimePoint::max();
    const auto since = *liveness_.firstRanked();
    auto due = std::max(nextSwap_, since + jitter(settings_.creationJitter));
    // Right after a start few members are known, and a short list of candidates fails with them.
    if (liveness_.ranking().size() < settings_.candidateCount)
        due = std::max(due, since + settings_.candidateDead);
    return due;
}

TimePoint OwnershipMachine::renewalDue() const
{
    auto due = TimePoint::max();
    for (const auto &vm : promisers()) {
        const auto found = nextRequests_.find(vm);
        due = std::min(due, found == nextRequests_.end() ? TimePoint::min() : found->second);
    }
    return due;
}

TimePoint OwnershipMachine::changeDue() const
{
    if (!canSwap() || (!draining_ && !serving_))
        return TimePoint::max();
    if (draining_)
        return liveness_.handover(*record_) ? nextSwap_ : TimePoint::max();
    return record_->served ? std::max(nextSwap_, liveness_.changeDue(*record_)) : nextSwap_;
}

TimePoint OwnershipMachine::takeoverDue() const
{
    if (draining_ || !canSwap())
        return TimePoint::max();
    const auto due = std::max(nextSwap_, takeoverTime());
    const bool free = majorityEnd(queries_) > std::max(due, lastEvent_);
    return free ? due : std::max(due, nextQuery_);
}

} // namespace shallotwalk
