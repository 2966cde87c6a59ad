#include "core/fairsharepolicy.h"

#include <algorithm>

namespace shallotwalk {

namespace {

// Charged for a request of a route without completed requests, and corrected when it ends.
constexpr Duration unknownCost = std::chrono::milliseconds(1);
// The measured load of short work falls with time, which may let waiting long work start.
constexpr Duration longWorkPace = std::chrono::milliseconds(10);
// Idle callers and routes that are remembered beyond the active ones.
constexpr std::size_t rememberedCallers = 256;
constexpr std::size_t rememberedRoutes = 256;

Failure refusal(ErrorCode code, std::string message)
{
    return {code, Verdict::DidNotRun, std::move(message)};
}

Duration expectedCost(const ServiceTimes &times)
{
    return times.empty() ? unknownCost : std::max(times.mean(), Duration(1));
}

std::string inMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(count) + " ms";
}

double toCost(Duration duration, std::uint32_t weight)
{
    return static_cast<double>(duration.count()) / weight;
}

} // namespace

bool FairSharePolicy::EarlierStart::operator()(const Waiting &left, const Waiting &right) const
{
    return left.latestStart != right.latestStart ? left.latestStart < right.latestStart
                                                 : left.id < right.id;
}

bool FairSharePolicy::ShorterQueue::operator()(const Caller &left, const Caller &right) const
{
    return left.queue.size() != right.queue.size() ? left.queue.size() < right.queue.size()
                                                   : left.number < right.number;
}

FairSharePolicy::FairSharePolicy(FairShareSettings settings)
    : settings_(settings)
{
}

FairSharePolicy::~FairSharePolicy()
{
    while (!waiting_.empty())
        remove(waiting_.begin()->second);
}

std::optional<Failure> FairSharePolicy::submit(const WorkItem &item, const Capacity &capacity,
                                               TimePoint now)
{
    const Duration remaining = item.deadline - now;
    if (remaining <= Duration::zero())
        return refusal(ErrorCode::DeadlineExceeded, "the deadline passed before the request");
    auto &route = routeOf(item);
    auto &caller = callerOf(route, item.caller);
    const Duration wait = expectedWait(route, caller, capacity);
    const auto bound = std::chrono::duration_cast<Duration>(remaining * settings_.waitShare);
    if (wait > Duration::zero() && (wait > bound || wait + route.times.median() > remaining)) {
        return refusal(ErrorCode::DeadlineExceeded, "an expected wait of " + inMilliseconds(wait)
                                                        + " is too long for a deadline in "
                                                        + inMilliseconds(remaining));
    }
    if (route.queued >= item.queueLimit && !displace(route, caller)) {
        return refusal(ErrorCode::QueueFull, "the queue of route \"" + item.route + "\" is full");
    }
    enqueue(item, route, caller, now);
    return std::nullopt;
}

std::optional<WorkId> FairSharePolicy::next(const Capacity &capacity, TimePoint now)
{
    longSlots_ = std::max<std::uint32_t>(capacity.longSlots, 1);
    noteLongRunning(now);
    if (capacity.busy >= capacity.total)
        return std::nullopt;
    // Long work goes first because its slots bound it; behind short work it might never run.
    for (const auto loadClass : {Long, Trial, Short}) {
        if (!hasSlot(loadClass, capacity) || (loadClass == Long && !mayStartLong(capacity, now)))
            continue;
        if (const auto id = take(loadClass, now))
            return id;
    }
    return std::nullopt;
}

std::optional<WorkId> FairSharePolicy::nextOf(std::string_view caller, const Capacity &capacity,
                                              TimePoint now)
{
    longSlots_ = std::max<std::uint32_t>(capacity.longSlots, 1);
    noteLongRunning(now);
    if (capacity.busy >= capacity.total)
        return std::nullopt;
    for (const auto loadClass : {Long, Trial, Short}) {
        if (!hasSlot(loadClass, capacity) || (loadClass == Long && !mayStartLong(capacity, now)))
            continue;
        while (auto *route = firstRouteOf(caller, loadClass)) {
            if (const auto id = take(*route, *route->callers.find(caller)->second, now))
                return id;
        }
    }
    return std::nullopt;
}

std::vector<RefusedWork> FairSharePolicy::expire(TimePoint now)
{
    noteLongRunning(now);
    while (!byStart_.empty() && byStart_.begin()->latestStart <= now) {
        refuse(*byStart_.begin(), ErrorCode::DeadlineExceeded,
               "the request waited in the queue until too little time was left to run it");
    }
    return std::exchange(refused_, {});
}

TimePoint FairSharePolicy::nextDue(TimePoint now) const
{
    if (!refused_.empty())
        return TimePoint::min();
    auto due = TimePoint::max();
    if (!byStart_.empty())
        due = byStart_.begin()->latestStart;
    if (classes_[Long].queued > 0)
        due = std::min(due, now + longWorkPace);
    for (const auto id : unproven_) {
        const auto found = running_.find(id);
        if (found == running_.end())
            continue;
        return std::min(due, found->second.start + settings_.longThreshold + Duration(1));
    }
    return due;
}

void FairSharePolicy::completed(WorkId id, TimePoint now)
{
    const auto running = running_.extract(id);
    if (running.empty())
        return;
    const Duration duration = now - running.mapped().start;
    release(running.mapped(), duration, now);
    auto &route = *running.mapped().route;
    route.times.record(duration);
    reclassify(route);
}

void FairSharePolicy::abandoned(WorkId id, TimePoint now)
{
    const auto running = running_.extract(id);
    if (!running.empty())
        release(running.mapped(), Duration::zero(), now);
}

void FairSharePolicy::release(const Running &running, Duration duration, TimePoint now)
{
    auto &route = *running.route;
    const Duration correction = duration - running.cost;
    --classes_[running.loadClass].running;
    if (running.loadClass == Long && classes_[Long].running == 0)
        longRestEnd_ = now + std::chrono::duration_cast<Duration>(duration * settings_.longRest);
    shortLoad_.update(classes_[Short].running, now);
    --route.running;
    if (running.overdue)
        --route.overdue;
    route.order.charge(*running.caller, toCost(correction, 1));
    classes_[route.loadClass].routes.charge(route, toCost(correction, route.weight));
}

bool FairSharePolicy::cancel(WorkId id)
{
    const auto found = waiting_.find(id);
    if (found == waiting_.end())
        return std::erase_if(refused_, [id](const RefusedWork &work) { return work.id == id; }) > 0;
    remove(found->second);
    return true;
}

std::optional<WorkKind> FairSharePolicy::kindOf(std::string_view route) const
{
    const auto found = routes_.find(std::string(route));
    if (found == routes_.end() || found->second.loadClass == Trial)
        return std::nullopt;
    return found->second.loadClass == Long ? WorkKind::Long : WorkKind::Short;
}

FairSharePolicy::Route &FairSharePolicy::routeOf(const WorkItem &item)
{
    if (routes_.size() >= rememberedRoutes)
        forgetIdleRoutes();
    auto &route = routes_[item.route];
    const auto weight = std::max<std::uint32_t>(item.weight, 1);
    if (route.active())
        classes_[route.loadClass].weights += weight - std::uint64_t{route.weight};
    route.weight = weight;
    route.kind = item.kind;
    reclassify(route);
    return route;
}

FairSharePolicy::Caller &FairSharePolicy::callerOf(Route &route, const std::string &name)
{
    if (const auto found = route.callers.find(name); found != route.callers.end())
        return *found->second;
    if (route.callers.size() >= 2 * route.order.size() + rememberedCallers)
        forgetIdleCallers(route);
    auto caller = std::make_shared<Caller>();
    caller->name = name;
    caller->number = ++route.lastCaller;
    return *route.callers.emplace(name, std::move(caller)).first->second;
}

FairSharePolicy::LoadClass FairSharePolicy::classify(const Route &route) const
{
    switch (route.kind) {
    case WorkKind::Long:
        return Long;
    case WorkKind::Short:
        return Short;
    case WorkKind::Auto:
        break;
    }
    if (route.times.empty())
        return Trial;
    if (route.overdue >= longSlots_)
        return Long;
    return route.times.p90() > settings_.longThreshold ? Long : Short;
}

void FairSharePolicy::reclassify(Route &route)
{
    if (const auto loadClass = classify(route); loadClass != route.loadClass)
        moveTo(route, loadClass);
}

void FairSharePolicy::moveTo(Route &route, LoadClass loadClass)
{
    auto &from = classes_[route.loadClass];
    auto &to = classes_[loadClass];
    route.loadClass = loadClass;
    // Virtual times of different classes can't be compared; the route starts as a new flow.
    if (!route.active()) {
        route.tag = 0;
        return;
    }
    from.routes.deactivate(route);
    from.queued -= route.queued;
    from.queuedWork -= route.queuedWork;
    from.weights -= route.weight;
    route.tag = 0;
    to.routes.activate(route);
    to.queued += route.queued;
    to.queuedWork += route.queuedWork;
    to.weights += route.weight;
}

std::uint32_t FairSharePolicy::connectionsFor(LoadClass loadClass, const Capacity &capacity) const
{
    // One connection stays out of reach of long work, so that short work always moves.
    const auto shareable = capacity.total > 1 ? capacity.total - 1 : capacity.total;
    const auto possiblyLong = classes_[Long].running + classes_[Trial].running;
    switch (loadClass) {
    case Long:
        return std::min(std::max<std::uint32_t>(capacity.longSlots, 1), shareable);
    case Trial:
        return 1;
    default:
        return possiblyLong < capacity.total ? capacity.total - possiblyLong : 1;
    }
}

bool FairSharePolicy::hasSlot(LoadClass loadClass, const Capacity &capacity) const
{
    if (loadClass == Short)
        return true;
    const auto shareable = capacity.total > 1 ? capacity.total - 1 : capacity.total;
    return classes_[loadClass].running < connectionsFor(loadClass, capacity)
           && classes_[Long].running + classes_[Trial].running < shareable;
}

bool FairSharePolicy::mayStartLong(const Capacity &capacity, TimePoint now)
{
    const auto possiblyLong = classes_[Long].running + classes_[Trial].running;
    if (classes_[Long].queued == 0)
        return true;
    // One slot serves again after each rest, so that reports progress under any load.
    if (classes_[Long].running == 0 && now >= longRestEnd_)
        return true;
    return shortLoad_.toleratesLoss(capacity.total, capacity.total - possiblyLong - 1, now);
}

Duration FairSharePolicy::expectedWait(const Route &route, const Caller &caller,
                                       const Capacity &capacity) const
{
    const auto loadClass = route.loadClass;
    const auto &queue = classes_[loadClass];
    // Nothing is known of the durations of a route on trial.
    if (loadClass == Trial || route.times.empty())
        return Duration::zero();
    if (queue.queued == 0 && capacity.busy < capacity.total && hasSlot(loadClass, capacity))
        return Duration::zero();
    const auto connections = connectionsFor(loadClass, capacity);
    // Until the first of so many requests ends, whose remaining times are evenly spread.
    const Duration residual = expectedCost(route.times) / (connections + 1);
    return residual + workAhead(route, caller) / connections;
}

Duration FairSharePolicy::workAhead(const Route &route, const Caller &caller) const
{
    const auto &queue = classes_[route.loadClass];
    // In fair rounds, each other caller has as many requests ahead as this one, and one more.
    const auto callers = route.order.size() + (caller.active() ? 0 : 1);
    const auto inRoute = std::min(route.queued, (caller.queue.size() + 1) * callers - 1);
    const Duration cost = expectedCost(route.times);
    const auto weights = queue.weights + (route.active() ? 0 : route.weight);
    const auto share = static_cast<double>(weights) / route.weight;
    const auto rounds = cost * static_cast<double>(inRoute + 1) * share - cost;
    return std::min(queue.queuedWork, std::chrono::duration_cast<Duration>(rounds));
}

TimePoint FairSharePolicy::latestStart(const WorkItem &item, const Route &route,
                                       TimePoint now) const
{
    const Duration remaining = item.deadline - now;
    const Duration margin = std::min(settings_.refusalMargin, remaining / 4);
    return std::max(now, item.deadline - std::max(margin, route.times.median()));
}

void FairSharePolicy::enqueue(const WorkItem &item, Route &route, Caller &caller, TimePoint now)
{
    auto &waiting = waiting_[item.id];
    waiting.id = item.id;
    waiting.arrival = now;
    waiting.deadline = item.deadline;
    waiting.latestStart = latestStart(item, route, now);
    waiting.cost = expectedCost(route.times);
    waiting.route = &route;
    waiting.caller = &caller;
    byStart_.insert(waiting);

    auto &queue = classes_[route.loadClass];
    if (caller.queue.empty())
        route.order.activate(caller);
    else
        route.lengths.erase(route.lengths.iterator_to(caller));
    caller.queue.push_back(waiting);
    route.lengths.insert(caller);
    if (route.queued == 0) {
        queue.routes.activate(route);
        queue.weights += route.weight;
    }
    ++route.queued;
    ++queue.queued;
    route.queuedWork += waiting.cost;
    queue.queuedWork += waiting.cost;
}

void FairSharePolicy::remove(Waiting &waiting)
{
    auto &route = *waiting.route;
    auto &caller = *waiting.caller;
    auto &queue = classes_[route.loadClass];
    byStart_.erase(byStart_.iterator_to(waiting));
    route.lengths.erase(route.lengths.iterator_to(caller));
    caller.queue.erase(caller.queue.iterator_to(waiting));
    if (caller.queue.empty())
        route.order.deactivate(caller);
    else
        route.lengths.insert(caller);
    --route.queued;
    --queue.queued;
    route.queuedWork -= waiting.cost;
    queue.queuedWork -= waiting.cost;
    if (route.queued == 0) {
        queue.routes.deactivate(route);
        queue.weights -= route.weight;
    }
    const auto id = waiting.id;
    waiting_.erase(id);
}

bool FairSharePolicy::displace(const Route &route, const Caller &caller)
{
    if (route.lengths.empty())
        return false;
    const auto &longest = *route.lengths.rbegin();
    if (longest.queue.size() <= caller.queue.size() + 1)
        return false;
    auto &newest = waiting_.at(longest.queue.back().id);
    refuse(newest, ErrorCode::QueueFull,
           "the queue is full and another caller has fewer requests in it");
    return true;
}

void FairSharePolicy::refuse(Waiting &waiting, ErrorCode code, std::string message)
{
    refused_.push_back({waiting.id, refusal(code, std::move(message))});
    remove(waiting);
}

FairSharePolicy::Waiting &FairSharePolicy::head(Caller &caller, TimePoint now) const
{
    auto &oldest = caller.queue.front();
    const bool newestFirst = settings_.order == QueueOrder::NewestFirst
                             && now - oldest.arrival > settings_.newestFirstAfter;
    return newestFirst ? caller.queue.back() : oldest;
}

std::optional<WorkId> FairSharePolicy::take(LoadClass loadClass, TimePoint now)
{
    auto &queue = classes_[loadClass];
    while (!queue.routes.empty()) {
        auto &route = static_cast<Route &>(queue.routes.first());
        if (const auto id = take(route, static_cast<Caller &>(route.order.first()), now))
            return id;
    }
    return std::nullopt;
}

/// Takes the next request of \a caller in \a route; empty if it was refused, because too little
/// time is left to run it.
std::optional<WorkId> FairSharePolicy::take(Route &route, Caller &caller, TimePoint now)
{
    auto &waiting = head(caller, now);
    const Duration remaining = waiting.deadline - now;
    // A connection that nothing else waits for may as well try.
    const bool alone = classes_[route.loadClass].queued <= 1;
    const Duration needed = alone ? Duration::zero() : route.times.median();
    if (remaining <= needed) {
        refuse(waiting, ErrorCode::DeadlineExceeded,
               "the request waited in the queue until too little time was left to run it");
        return std::nullopt;
    }
    const auto id = waiting.id;
    start(waiting, now);
    return id;
}

/// The route of a class that has consumed least among those in which \a caller has work waiting.
FairSharePolicy::Route *FairSharePolicy::firstRouteOf(std::string_view caller, LoadClass loadClass)
{
    Route *first = nullptr;
    for (auto &[name, route] : routes_) {
        const auto found = route.callers.find(caller);
        if (route.loadClass != loadClass || found == route.callers.end()
            || found->second->queue.empty())
            continue;
        if (first == nullptr || route < *first)
            first = &route;
    }
    return first;
}

void FairSharePolicy::start(Waiting &waiting, TimePoint now)
{
    auto &route = *waiting.route;
    auto &caller = *waiting.caller;
    auto &queue = classes_[route.loadClass];
    const Duration cost = expectedCost(route.times);
    route.order.serve(caller);
    route.order.charge(caller, toCost(cost, 1));
    queue.routes.serve(route);
    queue.routes.charge(route, toCost(cost, route.weight));
    ++queue.running;
    shortLoad_.update(classes_[Short].running, now);
    ++route.running;
    running_.emplace(waiting.id,
                     Running{&route, route.callers.at(caller.name), now, cost, route.loadClass});
    if (route.kind == WorkKind::Auto)
        unproven_.push_back(waiting.id);
    remove(waiting);
}

void FairSharePolicy::noteLongRunning(TimePoint now)
{
    while (!unproven_.empty()) {
        const auto found = running_.find(unproven_.front());
        if (found != running_.end()) {
            auto &running = found->second;
            if (now - running.start <= settings_.longThreshold)
                return;
            --classes_[running.loadClass].running;
            running.loadClass = Long;
            running.overdue = true;
            ++running.route->overdue;
            ++classes_[Long].running;
            shortLoad_.update(classes_[Short].running, now);
            running.route->times.record(now - running.start);
            reclassify(*running.route);
        }
        unproven_.pop_front();
    }
}

void FairSharePolicy::forgetIdleCallers(Route &route)
{
    std::erase_if(route.callers, [](const auto &entry) { return !entry.second->active(); });
}

void FairSharePolicy::forgetIdleRoutes()
{
    std::erase_if(routes_, [](const auto &entry) {
        return entry.second.queued == 0 && entry.second.running == 0;
    });
}

} // namespace shallotwalk
