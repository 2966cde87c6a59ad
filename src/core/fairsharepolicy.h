#pragma once

#include "core/admissionpolicy.h"
#include "core/fairorder.h"
#include "core/servicetimes.h"
#include "core/shortworkload.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace shallotwalk {

/// Which waiting request of one caller runs first.
enum class QueueOrder {
    OldestFirst,
    NewestFirst, ///< Once the oldest one has waited for newestFirstAfter.
};

/// Settings of FairSharePolicy; docs/decisions.md has the measurements behind the defaults.
struct FairShareSettings
{
    /// An `auto` route with a higher 90th percentile is long.
    Duration longThreshold{std::chrono::milliseconds(1000)};
    /// Longest expected wait of an admitted request, as a share of the time to its deadline.
    double waitShare = 0.5;
    QueueOrder order = QueueOrder::OldestFirst;
    Duration newestFirstAfter{std::chrono::milliseconds(100)};
    /// Twice the resolution of the database actor's timer: refusals then reach the caller before
    /// the deadline.
    Duration refusalMargin{std::chrono::milliseconds(20)};
    /// While short work can't spare a connection, no report starts after the last one has ended
    /// for this share of its duration.
    double longRest = 1.0;
};

/// Shares the connections of one database fairly among routes and, within a route, among callers,
/// both by the connection time that they use. Keeps long work to its slots, to one with a rest
/// after each request while more would delay short work noticeably, and refuses early what would
/// miss its deadline. Each operation is O(log n) in the number of waiting requests, on average. Not
/// thread-safe.
///
/// `auto` routes start on trial, with one connection for all of them, until a request has ended
/// or has run for longThreshold. Work that next() drops as too late, and work that a caller with
/// fewer waiting requests displaces from a full queue, is returned by the next call of expire(),
/// and counts as queued until then.
class FairSharePolicy : public AdmissionPolicy
{
public:
    explicit FairSharePolicy(FairShareSettings settings = {});
    ~FairSharePolicy() override;
    FairSharePolicy(const FairSharePolicy &) = delete;
    FairSharePolicy &operator=(const FairSharePolicy &) = delete;

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
    std::size_t queued() const override { return waiting_.size() + refused_.size(); }

    /// How requests of \a route are classed at present; empty while an `auto` route is on trial or
    /// for an unknown route.
    std::optional<WorkKind> kindOf(std::string_view route) const;

private:
    enum LoadClass : std::size_t { Long, Trial, Short, classCount };

    struct Route;
    struct Caller;

    struct Waiting : boost::intrusive::list_base_hook<>, boost::intrusive::set_base_hook<>
    {
        WorkId id = 0;
        TimePoint arrival;
        TimePoint deadline;
        TimePoint latestStart; ///< Refused if it still waits then.
        Duration cost{0};      ///< Expected duration, in the sums of queued work.
        Route *route = nullptr;
        Caller *caller = nullptr;
    };
    struct EarlierStart
    {
        bool operator()(const Waiting &left, const Waiting &right) const;
    };

    struct Caller : FairOrder::Flow
    {
        std::string name;
        boost::intrusive::list<Waiting> queue;
        boost::intrusive::set_member_hook<> lengthHook;
        std::uint64_t number = 0;
    };
    struct ShorterQueue
    {
        bool operator()(const Caller &left, const Caller &right) const;
    };
    using LengthHook = boost::intrusive::member_hook<Caller, boost::intrusive::set_member_hook<>,
                                                     &Caller::lengthHook>;

    struct Route : FairOrder::Flow
    {
        WorkKind kind = WorkKind::Short;
        LoadClass loadClass = Short;
        std::uint32_t weight = 1;
        std::size_t queued = 0;
        std::size_t running = 0;
        std::size_t overdue = 0; ///< Running longer than longThreshold, of an `auto` route.
        Duration queuedWork{0};
        ServiceTimes times;
        FairOrder order; ///< Of the callers with waiting requests.
        boost::intrusive::set<Caller, LengthHook, boost::intrusive::compare<ShorterQueue>> lengths;
        std::map<std::string, std::shared_ptr<Caller>, std::less<>> callers;
        std::uint64_t lastCaller = 0;
    };

    struct Running
    {
        Route *route = nullptr;
        std::shared_ptr<Caller> caller;
        TimePoint start;
        Duration cost{0};
        LoadClass loadClass = Short;
        bool overdue = false;
    };

    struct ClassQueue
    {
        FairOrder routes; ///< With waiting requests.
        std::size_t queued = 0;
        std::uint64_t weights = 0; ///< Of these routes.
        Duration queuedWork{0};
        std::uint32_t running = 0;
    };

    Route &routeOf(const WorkItem &item);
    /// Takes \a running, which lasted \a duration, out of all counts.
    void release(const Running &running, Duration duration, TimePoint now);
    Caller &callerOf(Route &route, const std::string &name);
    LoadClass classify(const Route &route) const;
    void reclassify(Route &route);
    void moveTo(Route &route, LoadClass loadClass);
    bool hasSlot(LoadClass loadClass, const Capacity &capacity) const;
    bool mayStartLong(const Capacity &capacity, TimePoint now);
    std::uint32_t connectionsFor(LoadClass loadClass, const Capacity &capacity) const;
    Duration expectedWait(const Route &route, const Caller &caller, const Capacity &capacity) const;
    Duration workAhead(const Route &route, const Caller &caller) const;
    TimePoint latestStart(const WorkItem &item, const Route &route, TimePoint now) const;

    void enqueue(const WorkItem &item, Route &route, Caller &caller, TimePoint now);
    void remove(Waiting &waiting);
    bool displace(const Route &route, const Caller &caller);
    void refuse(Waiting &waiting, ErrorCode code, std::string message);
    Waiting &head(Caller &caller, TimePoint now) const;
    std::optional<WorkId> take(LoadClass loadClass, TimePoint now);
    Route *firstRouteOf(std::string_view caller, LoadClass loadClass);
    std::optional<WorkId> take(Route &route, Caller &caller, TimePoint now);
    void start(Waiting &waiting, TimePoint now);
    void noteLongRunning(TimePoint now);
    void forgetIdleCallers(Route &route);
    void forgetIdleRoutes();

    FairShareSettings settings_;
    std::unordered_map<std::string, Route> routes_;
    std::array<ClassQueue, classCount> classes_;
    ShortWorkLoad shortLoad_;
    std::unordered_map<WorkId, Waiting> waiting_;
    boost::intrusive::multiset<Waiting, boost::intrusive::compare<EarlierStart>> byStart_;
    std::unordered_map<WorkId, Running> running_;
    std::uint32_t longSlots_ = 1; ///< As last given to next().
    TimePoint longRestEnd_;       ///< Until then long work starts only on a spare connection.
    std::deque<WorkId> unproven_; ///< Running work of `auto` routes, in order of start.
    std::vector<RefusedWork> refused_;
};

} // namespace shallotwalk
