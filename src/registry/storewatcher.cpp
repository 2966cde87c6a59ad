#include "registry/storewatcher.h"

#include "supervision/logvalue.h"
#include "supervision/messages.h"
#include "wire/storecodec.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

#include <poll.h>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

/// Sent by the watcher to itself to serve its connections.
struct ServeWatches
{
};

constexpr unsigned statusOk = 200;
constexpr unsigned maxDoublings = 10;

boost::leaf::error_id watchError(std::string message)
{
    return leaf::new_error(
        Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun, std::move(message)});
}

Result<StoreRange> readRange(HttpClient &client, std::string_view body, TimePoint deadline)
{
    BOOST_LEAF_AUTO(response, client.request("POST", storeRangePath, body, deadline, deadline));
    if (response.status != statusOk)
        return watchError("HTTP status " + std::to_string(response.status));
    return decodeRangeResponse(response.body);
}

/// Runs \a operation; returns the message of its failure, or nothing.
template<class Operation>
std::optional<std::string> errorOf(Operation operation)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<std::string>> {
            BOOST_LEAF_CHECK(operation());
            return std::optional<std::string>();
        },
        [](const Failure &failure) { return std::optional<std::string>(failure.message); },
        [] { return std::optional<std::string>("unknown error"); });
}

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ServeWatches)

namespace shallotwalk {

StoreWatcher::StoreWatcher(caf::actor_config &config, StoreWatcherSettings settings,
                           std::shared_ptr<const Clock> clock,
                           std::shared_ptr<StoreSubscribers> subscribers)
    : caf::event_based_actor(config)
    , settings_(std::move(settings))
    , clock_(std::move(clock))
    , subscribers_(std::move(subscribers))
    , random_(std::random_device{}())
{
    set_down_handler([this](const caf::down_msg &message) { unsubscribe(message.source); });
}

caf::behavior StoreWatcher::make_behavior()
{
    for (const auto &[prefix, subscribers] : *subscribers_) {
        for (const auto &subscriber : subscribers)
            monitor(subscriber);
        publishStatus(prefix, watchOf(prefix));
    }
    scheduleNext();
    return {
        [this](const StoreSubscribe &message) { subscribe(message); },
        [this](const StoreUnsubscribe &message) {
            unsubscribe(message.subscriber.address(), message.prefix);
        },
        [this](ServeWatches) {
            scheduled_ = false;
            runOnce();
            scheduleNext();
        },
        [this](StateDumpRequest) { return StateDump{state()}; },
        [this](DrainRequest) { quit(); },
    };
}

StoreWatcher::Watch &StoreWatcher::watchOf(const std::string &prefix)
{
    const auto found = watches_.find(prefix);
    if (found != watches_.end())
        return found->second;
    const auto &endpoint = settings_.store.endpoints.front();
    const auto limit = settings_.store.bodyLimit;
    Watch watch{HttpClient(endpoint, limit), HttpClient(endpoint, limit)};
    return watches_.emplace(prefix, std::move(watch)).first->second;
}

void StoreWatcher::subscribe(const StoreSubscribe &message)
{
    const auto &watch = watchOf(message.prefix);
    if ((*subscribers_)[message.prefix].add(message.subscriber))
        monitor(message.subscriber);
    send(message.subscriber, StoreWatchStatus{message.prefix, watch.connected, watch.lastError});
    if (watch.loaded)
        send(message.subscriber, StoreChanged{message.prefix, watch.view.values(), true,
                                              watch.view.revision().number()});
    scheduleNext();
}

/// Removes a subscriber of \a prefix, or of all if it is empty.
void StoreWatcher::unsubscribe(const caf::actor_addr &subscriber, std::string_view prefix)
{
    for (auto place = subscribers_->begin(); place != subscribers_->end();) {
        if (prefix.empty() || place->first == prefix)
            place->second.remove(subscriber);
        if (!place->second.empty()) {
            ++place;
            continue;
        }
        watches_.erase(place->first);
        place = subscribers_->erase(place);
    }
}

void StoreWatcher::runOnce()
{
    for (auto &[prefix, watch] : watches_) {
        const auto now = clock_->now();
        if (!watch.connected && now >= watch.retryAt)
            connectWatch(prefix, watch);
        else if (watch.connected && now >= watch.checkAt)
            check(prefix, watch);
    }
    if (!waitForMessages(std::min(clock_->now() + settings_.waitSlice, nextEvent())))
        return;
    for (auto &[prefix, watch] : watches_) {
        if (watch.connected)
            receive(prefix, watch);
    }
}

/// With an open watch the wait takes place in poll, otherwise in the actor's clock.
void StoreWatcher::scheduleNext()
{
    if (scheduled_ || watches_.empty())
        return;
    scheduled_ = true;
    const bool polling = std::any_of(watches_.begin(), watches_.end(),
                                     [](const auto &item) { return item.second.connected; });
    const auto delay = nextEvent() - clock_->now();
    if (polling || delay <= Duration::zero())
        send(this, ServeWatches{});
    else
        delayed_send(this, delay, ServeWatches{});
}

/// Waits for a message on any open watch. Returns false without waiting if there is none.
bool StoreWatcher::waitForMessages(TimePoint deadline) const
{
    std::vector<pollfd> entries;
    for (const auto &[prefix, watch] : watches_) {
        if (watch.connected)
            entries.push_back({watch.stream.nativeHandle(), POLLIN, 0});
    }
    if (entries.empty())
        return false;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock_->now());
    return ::poll(entries.data(), entries.size(),
                  static_cast<int>(std::max<std::int64_t>(wait.count(), 0)))
           > 0;
}

TimePoint StoreWatcher::nextEvent() const
{
    auto next = TimePoint::max();
    for (const auto &[prefix, watch] : watches_)
        next = std::min(next, watch.connected ? watch.checkAt : watch.retryAt);
    return next;
}

void StoreWatcher::connectWatch(const std::string &prefix, Watch &watch)
{
    const auto &endpoints = settings_.store.endpoints;
    const auto &endpoint = endpoints[watch.endpoint % endpoints.size()];
    watch.reads = HttpClient(endpoint, settings_.store.bodyLimit);
    watch.stream = HttpClient(endpoint, settings_.store.bodyLimit);
    watch.received.clear();
    watch.announcedRevision = 0;
    const auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_CHECK(readPrefix(prefix, watch));
        return watch.stream.openStream(
            storeWatchPath, encodeWatchRequest(prefix, watch.view.revision().number() + 1),
            callDeadline());
    });
    if (error) {
        loseWatch(prefix, watch, *error);
        return;
    }
    watch.connected = true;
    watch.failures = 0;
    watch.lastError.clear();
    watch.checkAt = clock_->now() + settings_.checkInterval;
    spdlog::info("event=store_watch_established prefix={} endpoint={}:{} revision={}", prefix,
                 endpoint.host, endpoint.port, watch.view.revision().number());
    publishStatus(prefix, watch);
    // Messages that arrived together with the header no longer show up in poll.
    receive(prefix, watch);
}

Result<void> StoreWatcher::readPrefix(const std::string &prefix, Watch &watch)
{
    BOOST_LEAF_AUTO(range,
                    readRange(watch.reads, encodeRangeRequest(prefix, true), callDeadline()));
    auto changes = watch.view.applyRead(range.values, range.revision);
    if (!changes) {
        return watchError("the endpoint is at revision " + std::to_string(range.revision)
                          + ", before " + std::to_string(watch.view.revision().number()));
    }
    if (!watch.loaded || !changes->empty()) {
        StoreChanged message{prefix, std::move(*changes), !watch.loaded, range.revision};
        for (const auto &value : message.values)
            message.revisions.push_back(value.modRevision != 0 ? value.modRevision.number()
                                                               : range.revision);
        publish(message);
    }
    watch.loaded = true;
    return {};
}

void StoreWatcher::receive(const std::string &prefix, Watch &watch)
{
    const auto error = errorOf([&] { return receiveChunk(prefix, watch); });
    if (error)
        loseWatch(prefix, watch, *error);
}

Result<void> StoreWatcher::receiveChunk(const std::string &prefix, Watch &watch)
{
    BOOST_LEAF_AUTO(chunk, watch.stream.readChunk(clock_->now()));
    watch.received += chunk;
    std::size_t start = 0;
    for (auto end = watch.received.find('\n'); end != std::string::npos;
         end = watch.received.find('\n', start)) {
        const auto line = std::string_view(watch.received).substr(start, end - start);
        BOOST_LEAF_CHECK(handleLine(prefix, watch, line));
        start = end + 1;
    }
    watch.received.erase(0, start);
    if (watch.received.size() > settings_.store.bodyLimit)
        return watchError("a watch message exceeds the limit");
    return {};
}

Result<void> StoreWatcher::handleLine(const std::string &prefix, Watch &watch,
                                      std::string_view line)
{
    if (line.empty())
        return {};
    BOOST_LEAF_AUTO(message, decodeWatchMessage(line));
    if (message.canceled || message.compactRevision != 0)
        return watchError("canceled by the store, compact revision "
                          + std::to_string(message.compactRevision));
    std::vector<std::int64_t> revisions;
    for (const auto &change : message.changes) {
        if (change.modRevision > watch.view.revision())
            revisions.push_back(change.modRevision.number());
    }
    auto changes = watch.view.applyEvents(message.changes, message.deleted);
    if (!changes.empty())
        publish({prefix, std::move(changes), false, watch.view.revision().number(),
                 std::move(revisions)});
    return {};
}

void StoreWatcher::check(const std::string &prefix, Watch &watch)
{
    watch.checkAt = clock_->now() + settings_.checkInterval;
    const auto error = errorOf([&] { return checkRevision(prefix, watch); });
    if (error)
        loseWatch(prefix, watch, *error);
}

/// Compares the newest change in the store with what the watch has reported.
Result<void> StoreWatcher::checkRevision(const std::string &prefix, Watch &watch)
{
    if (watch.view.revision() < watch.announcedRevision && clock_->now() >= watch.announcedBy)
        return watchError("the watch did not report revision "
                          + std::to_string(watch.announcedRevision));
    BOOST_LEAF_AUTO(latest, readRange(watch.reads, encodeLatestRequest(prefix), callDeadline()));
    watch.announcedRevision =
        latest.values.empty() ? 0 : latest.values.front().modRevision.number();
    if (watch.view.revision() < watch.announcedRevision) {
        watch.announcedBy = clock_->now() + settings_.checkGrace;
        watch.checkAt = watch.announcedBy;
    }
    return {};
}

void StoreWatcher::loseWatch(const std::string &prefix, Watch &watch, std::string error)
{
    const auto doublings = std::min(watch.failures++, maxDoublings);
    const auto delay =
        std::min(settings_.firstRetryDelay * (1U << doublings), settings_.longestRetryDelay);
    std::uniform_int_distribution<Duration::rep> jitter(delay.count() / 2, delay.count());
    watch.retryAt = clock_->now() + Duration(jitter(random_));
    watch.reads.close();
    watch.stream.close();
    ++watch.endpoint;
    const bool changed = watch.connected || watch.lastError.empty();
    watch.connected = false;
    watch.lastError = std::move(error);
    if (changed) {
        spdlog::warn("event=store_watch_lost prefix={} error={}", prefix,
                     logValue(watch.lastError));
        publishStatus(prefix, watch);
    }
}

void StoreWatcher::publish(const StoreChanged &message)
{
    for (const auto &subscriber : (*subscribers_)[message.prefix])
        send(subscriber, message);
}

void StoreWatcher::publishStatus(const std::string &prefix, const Watch &watch)
{
    for (const auto &subscriber : (*subscribers_)[prefix])
        send(subscriber, StoreWatchStatus{prefix, watch.connected, watch.lastError});
}

void StoreWatcher::on_exit()
{
    watches_.clear();
    subscribers_.reset();
}

boost::json::value StoreWatcher::state() const
{
    boost::json::object prefixes;
    for (const auto &[prefix, watch] : watches_) {
        prefixes[prefix] = boost::json::object{{"connected", watch.connected},
                                               {"revision", watch.view.revision().number()},
                                               {"subscribers", subscribers_->at(prefix).size()},
                                               {"lastError", watch.lastError}};
    }
    return prefixes;
}

} // namespace shallotwalk
