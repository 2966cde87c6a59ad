#pragma once

#include "core/admissionpolicy.h"
#include "core/statement.h"
#include "core/tables.h"
#include "databases/messages.h"

#include <caf/response_promise.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace shallotwalk {

/// True for requests that only a primary may run.
bool runsOnPrimary(const StatementRequest &request);

/// True if the request ran without an error.
bool ran(const StatementReply &reply);

StatementReply failureReply(ErrorCode code, Verdict verdict, std::string message);

/// The requests that one database has accepted and not answered, from the queue to the answer. A
/// request that ends in any of its functions is answered there. Not thread-safe.
class RequestTable
{
public:
    enum class Stage { Queued, Waiting, Running, Confirming };

    struct Entry
    {
        StatementRequest request;
        caf::response_promise promise;
        Stage stage = Stage::Queued;
        bool admitted = false;               ///< Counts in the admission policy.
        std::optional<StatementReply> reply; ///< Of a write that awaits its confirmation.
    };

    struct Counters
    {
        std::uint64_t replicaReads = 0;
        std::uint64_t primaryReads = 0;
        std::uint64_t acknowledgedWrites = 0;
        std::uint64_t refused = 0;
    };

    explicit RequestTable(std::unique_ptr<AdmissionPolicy> admission);

    WorkId add(StatementRequest request, caf::response_promise promise);

    /// The entry of \a id; null if it has been answered.
    Entry *find(WorkId id);
    const Entry *find(WorkId id) const;

    /// Queues a request of \a route, which may be null.
    void submit(WorkId id, const Route *route, const Capacity &capacity, TimePoint now);

    /// Takes the next request that may run.
    std::optional<WorkId> admit(const Capacity &capacity, TimePoint now);

    /// Lets an admitted request wait for a primary. It gives its place back, so that writes that
    /// wait don't keep reads from the replicas. Beyond a limit it fails with \a reason.
    void park(WorkId id, const Failure &reason, TimePoint now);
    std::deque<WorkId> takeParked() { return std::exchange(parked_, {}); }

    /// The place of a request that opened a transaction lasts until releasePlace().
    void passPlace(WorkId id);
    void releasePlace(WorkId id, TimePoint now);

    /// Answers queued and waiting requests that can't run in time.
    void expire(TimePoint now);

    /// Time at which expire() must be called; the past if at once, TimePoint::max() if never.
    TimePoint nextDue(TimePoint now) const;

    void finish(WorkId id, StatementReply reply, TimePoint now);
    void finish(WorkId id, const Failure &failure, TimePoint now);

    /// Answers a write with the reply that awaited its confirmation.
    void acknowledge(WorkId id, Position position, TimePoint now);

    /// Answers all requests; those that have not started did not run.
    void failAll(std::string_view reason);

    const std::unordered_map<WorkId, Entry> &entries() const { return entries_; }
    /// Admitted requests and open transactions.
    std::uint32_t active() const { return active_; }
    std::size_t queued() const { return admission_->queued(); }
    const Counters &counters() const { return counters_; }

private:
    std::unique_ptr<AdmissionPolicy> admission_;
    std::unordered_map<WorkId, Entry> entries_;
    std::set<std::pair<TimePoint, WorkId>> deadlines_; ///< Of all entries.
    TimePoint expiredAt_;                              ///< Of the last expire().
    std::deque<WorkId> parked_;                        ///< Requests that wait for a primary.
    WorkId next_ = 1;
    std::uint32_t active_ = 0;
    Counters counters_;
};

} // namespace shallotwalk
