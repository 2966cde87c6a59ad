#include "frontend/dispatcher.h"

#include "configuration/messages.h"
#include "databases/messages.h"
#include "frontend/requestlog.h"
#include "peers/messages.h"

#include <boost/leaf/handle_errors.hpp>

#include <functional>

namespace shallotwalk {

namespace {

// The owner answers by the deadline; after this grace the reply counts as lost.
constexpr Duration replyGrace = std::chrono::milliseconds(500);
// One timer serves all requests: CAF keeps the time-out of each request() until it is due, and
// wakes its clock thread to add it.
constexpr Duration expiryInterval = std::chrono::milliseconds(50);

using ExpireRequests = caf::atom_constant<caf::atom("expire")>;
using Attempt = caf::atom_constant<caf::atom("attempt")>;

StatementReply failureReply(ErrorCode code, Verdict verdict, std::string message)
{
    return {Failure{code, verdict, std::move(message)}, std::nullopt, {}};
}

} // namespace

Dispatcher::Dispatcher(caf::actor_config &config, DispatcherContext context)
    : caf::event_based_actor(config)
    , context_(std::move(context))
    , policy_(context_.vm, context_.settings, std::hash<std::string>()(context_.vm))
{
}

void Dispatcher::on_exit()
{
    for (auto &[id, pending] : std::exchange(requests_, {})) {
        const bool effect = pending.request.access == Access::Write || pending.request.transaction;
        const bool mayHaveRun = !pending.waitsForOwner && effect;
        pending.promise.deliver(DispatchReply{
            std::move(pending.request),
            failureReply(ErrorCode::Internal, mayHaveRun ? Verdict::MayHaveRun : Verdict::DidNotRun,
                         "the dispatcher failed")});
    }
    context_ = {};
}

caf::behavior Dispatcher::make_behavior()
{
    send(context_.configuration, SubscribeTables{this});
    return {
        [this](DispatchStatement &message) { return accept(std::move(message.request)); },
        [this](const TablesChanged &message) {
            router_ = std::make_unique<Router>(message.tables);
        },
        [this](const OwnerUpdate &message) {
            updateOwner(message.database, message.epoch, message.owner);
        },
        [this](Attempt, std::uint64_t id, std::uint64_t retry) {
            const auto found = requests_.find(id);
            if (found != requests_.end() && found->second.retry == retry)
                attempt(id);
        },
        [this](ExpireRequests) {
            expiryScheduled_ = false;
            expireRequests();
        },
        [this](DrainRequest) {
            draining_ = true;
            if (requests_.empty())
                quit();
        },
        [this](MetricsRequest) { return metrics(); },
        [this](StateDumpRequest) { return dump(); },
    };
}

caf::result<DispatchReply> Dispatcher::accept(StatementRequest request)
{
    // Entered before anything can fail, so that on_exit() answers it in any case.
    const auto id = nextId_++;
    const auto arrival = context_.clock->now();
    auto promise = make_response_promise<DispatchReply>();
    auto &pending =
        requests_.emplace(id, Pending{std::move(request), promise, {}, arrival}).first->second;
    policy_.requestArrived();
    if (auto failure = refusal(pending.request, arrival)) {
        ++refused_;
        deliver(id, {std::move(*failure), std::nullopt, {}});
        return promise;
    }
    scheduleExpiry();
    attempt(id);
    return promise;
}

std::optional<Failure> Dispatcher::refusal(StatementRequest &request, TimePoint now) const
{
    if (draining_)
        return Failure{ErrorCode::Draining, Verdict::DidNotRun, "the proxy is shutting down"};
    if (!router_)
        return Failure{ErrorCode::NoRoute, Verdict::DidNotRun, "no tables are loaded yet"};
    if (requests_.size() > context_.requestLimit)
        return Failure{ErrorCode::QueueFull, Verdict::DidNotRun, "too many requests in progress"};
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<Failure>> {
            BOOST_LEAF_CHECK(router_->route(request, now));
            return std::optional<Failure>();
        },
        [](const Failure &error) { return std::optional<Failure>(error); },
        [] { return std::optional<Failure>(Failure{}); });
}

void Dispatcher::attempt(std::uint64_t id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    auto &pending = found->second;
    pending.retry = 0;
    if (pending.waitsForOwner) {
        pending.waitsForOwner = false;
        --waiting_;
    }
    if (context_.clock->now() >= pending.request.deadline) {
        deliver(id, failureReply(ErrorCode::DeadlineExceeded, Verdict::DidNotRun,
                                 "the deadline passed before the request was sent to a database"));
        return;
    }
    const auto step = policy_.nextAttempt(pending.request, owners_);
    if (std::holds_alternative<RunLocally>(step)) {
        sendAttempt(id, context_.databases, true, context_.vm);
    } else if (const auto *forward = std::get_if<ForwardTo>(&step)) {
        sendAttempt(id, context_.peers, false, forward->vm);
    } else {
        pending.waitsForOwner = true;
        ++waiting_;
    }
}

void Dispatcher::sendAttempt(std::uint64_t id, const caf::actor &destination, bool local,
                             std::string_view vm)
{
    auto &pending = requests_.at(id);
    const auto serial = ++pending.attempts;
    pending.inFlight = true;
    const auto onReply = [this, id, serial](StatementReply &reply) {
        if (isCurrent(id, serial))
            handleReply(id, std::move(reply));
    };
    const auto onLoss = [this, id, serial](const caf::error &) {
        // The request was still in the mailbox of an actor that ended.
        if (isCurrent(id, serial))
            handleReply(id, failureReply(ErrorCode::NotOwner, Verdict::DidNotRun,
                                         "the owner of the database is restarting"));
    };
    if (local)
        request(destination, caf::infinite, ExecuteStatement{pending.request})
            .then(onReply, onLoss);
    else
        request(destination, caf::infinite, ForwardStatement{std::string(vm), pending.request})
            .then(onReply, onLoss);
}

bool Dispatcher::isCurrent(std::uint64_t id, unsigned serial) const
{
    const auto found = requests_.find(id);
    return found != requests_.end() && found->second.inFlight && found->second.attempts == serial;
}

void Dispatcher::handleReply(std::uint64_t id, StatementReply reply)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    auto &pending = found->second;
    pending.inFlight = false;
    const auto now = context_.clock->now();
    const auto step = policy_.afterReply(pending.request, reply, pending.progress, now);
    const auto *retry = std::get_if<RetryAfter>(&step);
    if (retry == nullptr) {
        deliver(id, std::move(reply));
        return;
    }
    ++retries_;
    if (retry->delay > Duration::zero()) {
        pending.retry = retries_;
        delayed_send(this, retry->delay, Attempt::value, id, retries_);
        return;
    }
    if (reply.ownerHint == context_.vm)
        sendAttempt(id, context_.databases, true, context_.vm);
    else
        sendAttempt(id, context_.peers, false, reply.ownerHint);
}

void Dispatcher::record(const StatementRequest &request, const StatementReply &reply,
                        TimePoint arrival)
{
    const auto *failure = std::get_if<Failure>(&reply.outcome);
    const auto duration = context_.clock->now() - arrival;
    metrics_.recordRequest(request.route.empty() ? "none" : request.route,
                           failure == nullptr ? "ok" : toString(failure->code),
                           toString(failure == nullptr ? Verdict::Ran : failure->verdict),
                           duration);
    logRequest(request, failure, duration);
}

void Dispatcher::deliver(std::uint64_t id, StatementReply reply)
{
    auto node = requests_.extract(id);
    auto &pending = node.mapped();
    if (pending.waitsForOwner)
        --waiting_;
    record(pending.request, reply, pending.arrival);
    pending.promise.deliver(DispatchReply{std::move(pending.request), std::move(reply)});
    if (draining_ && requests_.empty())
        quit();
}

void Dispatcher::updateOwner(std::string_view database, Epoch epoch, std::string_view owner)
{
    if (!owners_.update(database, epoch, owner))
        return;
    // What waits for a connection to the former owner has not been sent and goes to this one.
    send(context_.peers, OwnerChanged{std::string(database), std::string(owner)});
    std::vector<std::uint64_t> ready;
    for (const auto &[id, pending] : requests_) {
        if ((pending.waitsForOwner || pending.retry != 0) && pending.request.pool == database)
            ready.push_back(id);
    }
    for (const auto id : ready)
        attempt(id);
}

void Dispatcher::expireRequests()
{
    const auto now = context_.clock->now();
    std::vector<std::uint64_t> expired;
    for (const auto &[id, pending] : requests_) {
        const auto grace = pending.inFlight ? replyGrace : Duration::zero();
        if ((pending.waitsForOwner || pending.inFlight) && pending.request.deadline + grace <= now)
            expired.push_back(id);
    }
    for (const auto id : expired) {
        const auto &pending = requests_.at(id);
        if (pending.waitsForOwner) {
            deliver(id, failureReply(ErrorCode::NoOwner, Verdict::DidNotRun,
                                     "no proxy owns the database at present"));
            continue;
        }
        // A read has no effect, so it counts as not run even when its answer is lost.
        const auto &request = pending.request;
        const bool read = request.access == Access::Read && !request.transaction;
        deliver(id, failureReply(ErrorCode::PeerUnreachable,
                                 read ? Verdict::DidNotRun : Verdict::MayHaveRun,
                                 "no answer from the owner of the database"));
    }
    scheduleExpiry();
}

void Dispatcher::scheduleExpiry()
{
    if (expiryScheduled_ || requests_.empty())
        return;
    expiryScheduled_ = true;
    delayed_send(this, expiryInterval, ExpireRequests::value);
}

MetricsText Dispatcher::metrics() const
{
    const std::uint64_t version = router_ ? router_->tables().version : 0;
    return {metrics_.toText()
            + metricText("shallotwalk_requests_in_progress", "gauge",
                         "Requests that have arrived and are not answered.", requests_.size())
            + metricText("shallotwalk_requests_waiting_for_owner", "gauge",
                         "Requests in progress whose database has no known owner.", waiting_)
            + metricText("shallotwalk_retries_total", "counter",
                         "Attempts repeated after a request did not run.", retries_)
            + metricText("shallotwalk_tables_version", "gauge",
                         "Version of the tables in force; 0 for none.", version)};
}

StateDump Dispatcher::dump() const
{
    boost::json::object owners;
    for (const auto &[database, entry] : owners_.entries())
        owners[database] = boost::json::object{{"owner", entry.owner}, {"epoch", entry.epoch}};
    return {boost::json::object{
        {"tables_version", router_ ? router_->tables().version : 0},
        {"requests", requests_.size()},
        {"waiting_for_owner", waiting_},
        {"refused", refused_},
        {"retries", retries_},
        {"retry_budget", policy_.budget()},
        {"owners", std::move(owners)},
    }};
}

} // namespace shallotwalk
