#include "feed/feedactor.h"

#include "feed/feedconversions.h"
#include "supervision/logvalue.h"
#include "supervision/metricstext.h"

#include <boost/json.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace shallotwalk {

namespace {

/// Wakes the actor at the next due time.
struct FeedTick
{
};

/// Shortest time between two ticks.
constexpr Duration tickResolution = std::chrono::milliseconds(50);
/// Time within which a read must be sent.
constexpr Duration sendLimit = std::chrono::seconds(2);
/// Longest wait for the store client, which bounds the call itself.
constexpr auto replyLimit = std::chrono::seconds(4);

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedTick)

namespace shallotwalk {

FeedActor::FeedActor(caf::actor_config &config, FeedContext context,
                     std::shared_ptr<FeedSubscriptions> subscriptions)
    : caf::event_based_actor(config)
    , context_(std::move(context))
    , subscriptions_(std::move(subscriptions))
    , random_(std::random_device{}())
    , role_({context_.vm, context_.dataCentre}, context_.role)
    , log_(random_())
    , members_{{context_.vm, context_.dataCentre}}
{
    set_down_handler(
        [this](const caf::down_msg &message) { subscriptions_->remove(message.source); });
}

caf::behavior FeedActor::make_behavior()
{
    for (const auto &[prefix, subscribers] : subscriptions_->prefixes) {
        for (const auto &subscriber : subscribers)
            monitor(subscriber);
        if (prefix != context_.recordsPrefix)
            readPrefixes_.try_emplace(prefix);
    }
    for (const auto &subscriber : subscriptions_->vmList)
        monitor(subscriber);
    send(context_.members, SubscribeMembers{this});
    review();
    return subscriptionHandlers().or_else(
        [this](const StoreChanged &message) { handleStoreChanged(message); },
        [this](const StoreWatchStatus &message) {
            if (!watching_ || message.prefix != context_.recordsPrefix)
                return;
            watchConnected_ = message.connected;
            log_.setWatchConnected(message.connected);
            answerHeld();
            publishStatus();
        },
        [this](const VmListChanged &message) { handleVms(message.entries); },
        [this](const MembersChanged &message) {
            members_.clear();
            for (const auto &member : message.members) {
                if (member.alive)
                    members_.push_back({member.vm, member.dataCentre});
            }
            updateRole();
        },
        [this](const FeedMessageReceived &received) {
            if (const auto *request = std::get_if<FeedRequest>(&received.message))
                handleRequest(received.vm, *request);
            else
                handleReply(received.vm, std::get<FeedReply>(received.message));
            review();
        },
        [this](const PeerConnectionLost &message) {
            held_.erase(message.vm);
            role_.connectionLost(message.vm, now());
            review();
        },
        [this](FeedTick) {
            if (now() >= tickDue_)
                review();
        },
        [this](MetricsRequest) { return metrics(); },
        [this](StateDumpRequest) { return StateDump{state()}; },
        [this](DrainRequest) {
            refuseHeld();
            quit();
        });
}

caf::message_handler FeedActor::subscriptionHandlers()
{
    return {
        [this](const StoreSubscribe &message) { subscribe(message); },
        [this](const SubscribeVmList &message) { subscribeVmList(message.subscriber); },
    };
}

void FeedActor::on_exit()
{
    subscriptions_.reset();
    context_ = {};
}

void FeedActor::subscribe(const StoreSubscribe &message)
{
    auto &subscribers = subscriptions_->prefixes[message.prefix];
    const bool first = subscribers.empty();
    if (subscribers.add(message.subscriber))
        monitor(message.subscriber);
    send(message.subscriber, StoreWatchStatus{message.prefix, isConnected(), {}});
    if (message.prefix == context_.recordsPrefix) {
        if (view_.hasRecords())
            send(message.subscriber, StoreChanged{message.prefix, view_.records()});
    } else {
        const auto &known = readPrefixes_[message.prefix];
        if (known.loaded)
            send(message.subscriber, StoreChanged{message.prefix, known.view.values()});
    }
    if (first && watching_)
        watchPrefix(message.prefix);
    review();
}

void FeedActor::subscribeVmList(const caf::actor &subscriber)
{
    if (subscriptions_->vmList.add(subscriber))
        monitor(subscriber);
    if (view_.hasVms())
        send(subscriber, VmListChanged{vms_});
}

void FeedActor::watchPrefix(const std::string &prefix)
{
    send(context_.storeWatcher, StoreSubscribe{prefix, this});
}

void FeedActor::handleStoreChanged(const StoreChanged &message)
{
    // Messages that were on their way when the watch ended.
    if (!watching_)
        return;
    if (message.prefix != context_.recordsPrefix) {
        changePrefix(message);
        return;
    }
    const bool first = !view_.hasRecords();
    std::vector<KeyValue> news;
    if (message.complete) {
        log_.loadRecords(message.values, message.revision);
        news = view_.loadRecords(message.values, message.revision);
    } else {
        const auto changes = changesOf(message);
        log_.changeRecords(changes, message.revision);
        news = view_.changeRecords(changes);
    }
    if (first || !news.empty())
        publish(message.prefix, news);
    answerHeld();
}

void FeedActor::changePrefix(const StoreChanged &message)
{
    auto &known = readPrefixes_[message.prefix];
    std::vector<KeyValue> news;
    if (message.complete) {
        news = known.view.applyRead(message.values, message.revision)
                   .value_or(std::vector<KeyValue>{});
    } else {
        news = known.view.applyChanges(changesOf(message));
    }
    const bool first = !known.loaded;
    known.loaded = true;
    if (first || !news.empty())
        publish(message.prefix, news);
}

void FeedActor::handleVms(const std::vector<VmEntry> &entries)
{
    if (!watching_)
        return;
    const auto values = encodeVms(entries);
    log_.updateVms(values);
    if (view_.loadVms(values))
        publishVms();
    answerHeld();
}

void FeedActor::handleRequest(const std::string &vm, const FeedRequest &request)
{
    held_.erase(vm);
    if (!watching_) {
        sendReply(vm, FeedLog::refusal(request));
        return;
    }
    if (auto reply = log_.answer(request))
        sendReply(vm, std::move(*reply));
    else
        held_.emplace(vm, Held{request, now() + context_.holdTime});
}

void FeedActor::handleReply(const std::string &vm, const FeedReply &reply)
{
    // The state may have moved on since an earlier request.
    if (vm != role_.source() || reply.id != lastRequest_)
        return;
    const bool first = !view_.hasRecords();
    const auto news = view_.take(reply);
    if (!news.records.empty() || (first && view_.hasRecords()))
        publish(context_.recordsPrefix, news.records);
    if (reply.answer != FeedAnswer::Refused) {
        heardConnected_ = reply.answer == FeedAnswer::Watching;
        lastAnswer_ = now();
    }
    role_.answered(vm, reply.answer, now());
    if (news.vmsChanged)
        publishVms();
}

void FeedActor::answerHeld()
{
    std::erase_if(held_, [this](const auto &item) {
        auto reply = log_.answer(item.second.request);
        if (!reply)
            return false;
        sendReply(item.first, std::move(*reply));
        return true;
    });
}

void FeedActor::endHeld(TimePoint now)
{
    std::erase_if(held_, [&](const auto &item) {
        if (now < item.second.due)
            return false;
        sendReply(item.first, log_.emptyAnswer(item.second.request));
        return true;
    });
}

void FeedActor::refuseHeld()
{
    for (const auto &[vm, held] : std::exchange(held_, {}))
        sendReply(vm, FeedLog::refusal(held.request));
}

void FeedActor::sendReply(const std::string &vm, FeedReply reply)
{
    ++requestsAnswered_;
    bytesSent_ += bytesOf(reply.records) + bytesOf(reply.vms);
    send(context_.peers, SendFeedMessage{vm, std::move(reply)});
}

void FeedActor::updateRole()
{
    role_.updateMembers(members_, leaving_.leaving(now()), now());
    review();
}

void FeedActor::startWatching()
{
    watching_ = true;
    watchConnected_ = false;
    for (const auto &[prefix, subscribers] : subscriptions_->prefixes)
        watchPrefix(prefix);
    send(context_.vmList, SubscribeVmList{this});
}

void FeedActor::stopWatching()
{
    watching_ = false;
    for (const auto &[prefix, subscribers] : subscriptions_->prefixes)
        send(context_.storeWatcher, StoreUnsubscribe{prefix, this});
    send(context_.vmList, UnsubscribeVmList{this});
    log_.clear();
    refuseHeld();
    // A prefix that the watch has reported is read at a random time of the interval, because all
    // followers of a data centre may have started together.
    for (auto &[prefix, known] : readPrefixes_) {
        std::uniform_int_distribution<Duration::rep> part(0, context_.readInterval.count());
        known.readAt = known.loaded ? now() + Duration(part(random_)) : now();
    }
}

void FeedActor::review()
{
    const auto time = now();
    role_.tick(time);
    if (role_.watchesStore() != watching_) {
        if (watching_)
            stopWatching();
        else
            startWatching();
        spdlog::info("event=feed_role role={} source={} watching={}", roleName(),
                     logValue(role_.source()), watching_);
    }
    if (const auto next = role_.takeAsk(time))
        ask(*next);
    endHeld(time);
    readPrefixes(time);
    publishStatus();
    scheduleTick(time);
}

void FeedActor::ask(const FeedAsk &ask)
{
    FeedRequest request;
    request.id = ++lastRequest_;
    request.records = view_.recordsCursor();
    request.vms = view_.vmsCursor();
    request.hold = ask.hold;
    request.watchConnected = heardConnected_;
    send(context_.peers, SendFeedMessage{ask.vm, request});
}

void FeedActor::readPrefixes(TimePoint now)
{
    if (watching_)
        return;
    for (auto &[prefix, known] : readPrefixes_) {
        if (!known.reading && now >= known.readAt)
            readPrefix(prefix, known);
    }
}

void FeedActor::readPrefix(const std::string &prefix, ReadPrefix &state)
{
    state.reading = true;
    const auto finish = [this, prefix](const StoreReadReply &reply) {
        auto &known = readPrefixes_[prefix];
        known.reading = false;
        known.readAt =
            now() + jittered(reply.ok ? context_.readInterval : context_.failedReadInterval);
        if (reply.ok) {
            const auto news = known.view.applyRead(reply.values, reply.revision);
            known.loaded = known.loaded || news;
            if (news && !news->empty())
                publish(prefix, *news);
        }
        review();
    };
    request(context_.storeClient, replyLimit, StoreRead{prefix, true, now() + sendLimit})
        .then([finish](const StoreReadReply &reply) { finish(reply); },
              [finish](const caf::error &) { finish({}); });
}

/// 90 to 110% of \a interval.
Duration FeedActor::jittered(Duration interval)
{
    std::uniform_int_distribution<Duration::rep> spread(interval.count() * 9 / 10,
                                                        interval.count() * 11 / 10);
    return Duration(spread(random_));
}

void FeedActor::scheduleTick(TimePoint now)
{
    auto due = role_.nextDue();
    for (const auto &[vm, held] : held_)
        due = std::min(due, held.due);
    if (!watching_) {
        for (const auto &[prefix, known] : readPrefixes_) {
            if (!known.reading)
                due = std::min(due, known.readAt);
        }
    }
    if (due == TimePoint::max())
        return;
    due = std::max(due, now + tickResolution);
    if (tickDue_ > now && tickDue_ <= due)
        return;
    tickDue_ = due;
    delayed_send(this, due - now, FeedTick{});
}

void FeedActor::publish(const std::string &prefix, const std::vector<KeyValue> &values)
{
    const StoreChanged message{prefix, values};
    for (const auto &subscriber : subscriptions_->prefixes[prefix])
        send(subscriber, message);
}

void FeedActor::publishVms()
{
    vms_ = decodeVms(view_.vms());
    leaving_.update(vms_, now());
    for (const auto &subscriber : subscriptions_->vmList)
        send(subscriber, VmListChanged{vms_});
    updateRole();
}

void FeedActor::publishStatus()
{
    if (isConnected() == publishedStatus_)
        return;
    publishedStatus_ = isConnected();
    for (const auto &[prefix, subscribers] : subscriptions_->prefixes) {
        for (const auto &subscriber : subscribers)
            send(subscriber, StoreWatchStatus{prefix, publishedStatus_, {}});
    }
}

std::string_view FeedActor::roleName() const
{
    switch (role_.mode()) {
    case FeedMode::Watcher:
        return "watcher";
    case FeedMode::Follower:
        return "follower";
    case FeedMode::Direct:
        break;
    }
    return "direct";
}

std::int64_t FeedActor::answerAgeMs() const
{
    if (watching_ || lastAnswer_ == TimePoint{})
        return 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - lastAnswer_).count();
}

MetricsText FeedActor::metrics() const
{
    return {metricText("shallotwalk_feed_role", "gauge",
                       "1 for the role of this proxy: watcher, follower or direct.", 1,
                       "role=\"" + std::string(roleName()) + "\"")
            + metricText("shallotwalk_feed_watching", "gauge",
                         "1 if this proxy watches the store and reads the list of VMs.",
                         watching_ ? 1 : 0)
            + metricText("shallotwalk_feed_connected", "gauge",
                         "1 if changes of owner records arrive, from the store or a watcher.",
                         isConnected() ? 1 : 0)
            + metricText("shallotwalk_feed_revision", "gauge",
                         "Store revision of the owner records known here.",
                         static_cast<std::uint64_t>(view_.revision().number()))
            + metricText("shallotwalk_feed_answer_age_ms", "gauge",
                         "Time since the last answer of a watcher; 0 while watching.",
                         static_cast<std::uint64_t>(answerAgeMs()))
            + metricText("shallotwalk_feed_sent_bytes", "counter",
                         "Keys and values sent to followers.", bytesSent_)};
}

boost::json::value FeedActor::state() const
{
    return boost::json::object{{"role", roleName()},
                               {"watcher", role_.source()},
                               {"watching", watching_},
                               {"connected", isConnected()},
                               {"revision", view_.revision().number()},
                               {"records", view_.records().size()},
                               {"vms", vms_.size()},
                               {"lastAnswerAgeMs", answerAgeMs()},
                               {"heldRequests", held_.size()},
                               {"answers", requestsAnswered_}};
}

} // namespace shallotwalk
