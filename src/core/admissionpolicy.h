#pragma once

#include "core/failure.h"
#include "core/tables.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Identifies a request within one database's scheduler.
using WorkId = std::uint64_t;

/// A request as admission sees it.
struct WorkItem
{
    WorkId id = 0;
    std::string route;
    std::string caller;
    WorkKind kind = WorkKind::Short;
    std::uint32_t weight = 1;
    std::uint32_t queueLimit = 200; ///< Bound of the route's queue.
    TimePoint arrival;
    TimePoint deadline;
};

/// Connections of one database for the admission decision.
struct Capacity
{
    std::uint32_t total = 0; ///< Connections for work, busy or not.
    std::uint32_t busy = 0;
    std::uint32_t longSlots = 0; ///< Long requests that may run at once.
};

/// A request that left the queue without running.
struct RefusedWork
{
    WorkId id = 0;
    Failure failure; ///< Always with the verdict "did not run".
};

/// Decides which waiting request runs next on a database, and which are refused.
/// Implementations are not thread-safe.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    /// Queues \a item, or returns why it is refused at once.
    virtual std::optional<Failure> submit(const WorkItem &item, const Capacity &capacity,
                                          TimePoint now) = 0;

    /// Takes the next request to run; empty if none may run with \a capacity.
    virtual std::optional<WorkId> next(const Capacity &capacity, TimePoint now) = 0;

    /// As next(), for the requests of \a caller only.
    virtual std::optional<WorkId> nextOf(std::string_view caller, const Capacity &capacity,
                                         TimePoint now) = 0;

    /// Removes the requests whose deadline has passed before they ran.
    virtual std::vector<RefusedWork> expire(TimePoint now) = 0;

    /// Time at which expire() and next() must be called even if nothing else happens; the past if
    /// at once, TimePoint::max() if never.
    virtual TimePoint nextDue(TimePoint now) const = 0;

    /// Reports that a request returned by next() has ended.
    virtual void completed(WorkId id, TimePoint now) = 0;

    /// Reports that a request returned by next() gave its place back without having run.
    virtual void abandoned(WorkId id, TimePoint now) = 0;

    /// Removes a waiting request; false if it isn't waiting.
    virtual bool cancel(WorkId id) = 0;

    /// Number of waiting requests.
    virtual std::size_t queued() const = 0;
};

} // namespace shallotwalk
