#include "core/promisetable.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Requests of one owner and epoch are numbered, so that a late one can be told from a new one.
template<class Entry>
bool isLate(const Entry &entry, const PromiseRequest &request)
{
    return entry.owner == request.owner && entry.epoch == request.epoch
           && request.sequence <= entry.sequence;
}

} // namespace

PromiseTable::PromiseTable(std::string self, TimePoint start, Duration longestPromise)
    : self_(std::move(self))
    , start_(start)
    , longestPromise_(longestPromise)
{
}

PromiseReply PromiseTable::answer(const PromiseRequest &request, TimePoint now)
{
    auto &entry = entries_[request.database];
    PromiseReply reply;
    reply.database = request.database;
    reply.candidate = self_;
    reply.epoch = request.epoch;
    reply.sequence = request.sequence;
    if (request.release) {
        release(entry, request, now);
    } else {
        reply.remaining = wait(entry, request, now);
        reply.granted = mayGrant(entry, request, now);
        if (reply.granted && !request.query)
            grant(entry, request, now);
        // A refused request also counts, so that the superseded owner gets no further renewal.
        if (!request.query)
            entry.highestEpoch = std::max(entry.highestEpoch, request.epoch);
    }
    reply.highestEpoch = entry.highestEpoch;
    return reply;
}

Duration PromiseTable::wait(const Entry &entry, const PromiseRequest &request, TimePoint now) const
{
    auto end = start_ + longestPromise_;
    // The same owner with a higher epoch has restarted, and the promise was to its former process.
    if (entry.owner != request.owner)
        end = std::max(end, entry.until);
    return std::max(Duration(0), end - now);
}

bool PromiseTable::mayGrant(const Entry &entry, const PromiseRequest &request, TimePoint now) const
{
    return wait(entry, request, now) == Duration(0) && request.duration <= longestPromise_
           && request.epoch >= entry.highestEpoch && !isLate(entry, request)
           && (entry.recordRead || request.renewal);
}

void PromiseTable::grant(Entry &entry, const PromiseRequest &request, TimePoint now)
{
    entry.owner = request.owner;
    entry.epoch = request.epoch;
    entry.sequence = request.sequence;
    entry.until = now + request.duration;
}

void PromiseTable::release(Entry &entry, const PromiseRequest &request, TimePoint now)
{
    if (entry.owner != request.owner || entry.epoch != request.epoch || isLate(entry, request))
        return;
    entry.sequence = request.sequence;
    entry.until = std::min(entry.until, now);
}

void PromiseTable::recordRead(std::string_view database, Epoch epoch)
{
    auto &entry = entries_[std::string(database)];
    entry.recordRead = true;
    entry.highestEpoch = std::max(entry.highestEpoch, epoch);
}

bool PromiseTable::needsRecord(std::string_view database) const
{
    const auto found = entries_.find(database);
    return found == entries_.end() || !found->second.recordRead;
}

} // namespace shallotwalk
