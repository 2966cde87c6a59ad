#pragma once

#include "core/feedlog.h"
#include "core/feedrole.h"
#include "core/feedview.h"
#include "core/leavingservers.h"
#include "feed/feedsubscriptions.h"
#include "peers/messages.h"
#include "registry/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>

namespace shallotwalk {

/// What the feed needs from the rest of the process.
struct FeedContext
{
    std::string vm; ///< This proxy.
    std::string dataCentre;
    std::string recordsPrefix; ///< Of the keys that watchers pass on.
    caf::actor storeWatcher;   ///< Takes StoreSubscribe.
    caf::actor storeClient;    ///< Takes StoreRead.
    caf::actor vmList;         ///< Takes SubscribeVmList.
    caf::actor members;        ///< Takes SubscribeMembers.
    caf::actor peers;          ///< Takes SendFeedMessage.
    std::shared_ptr<const Clock> clock;
    FeedRoleSettings role;
    Duration holdTime{std::chrono::seconds(10)}; ///< Of requests without news.
    /// Between a follower's reads of the prefixes that aren't passed on.
    Duration readInterval{std::chrono::seconds(60)};
    Duration failedReadInterval{std::chrono::seconds(5)};
};

/// Takes StoreSubscribe and SubscribeVmList in place of the store watcher and the poller of the
/// list of VMs, and hides whether this proxy watches the store or follows a watcher of its data
/// centre. A follower reads prefixes other than the owner records at an interval. No subscriber
/// gets an older revision of a key after a newer one.
class FeedActor : public caf::event_based_actor
{
public:
    FeedActor(caf::actor_config &config, FeedContext context,
              std::shared_ptr<FeedSubscriptions> subscriptions);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    /// A request of a follower that waits for something newer.
    struct Held
    {
        FeedRequest request;
        TimePoint due;
    };

    /// A prefix that watchers don't pass on.
    struct ReadPrefix
    {
        WatchView view{};
        bool loaded = false;
        bool reading = false;
        TimePoint readAt{};
    };

    caf::message_handler subscriptionHandlers();
    void subscribe(const StoreSubscribe &message);
    void subscribeVmList(const caf::actor &subscriber);
    void watchPrefix(const std::string &prefix);
    void handleStoreChanged(const StoreChanged &message);
    void changePrefix(const StoreChanged &message);
    void handleVms(const std::vector<VmEntry> &entries);
    void handleRequest(const std::string &vm, const FeedRequest &request);
    void handleReply(const std::string &vm, const FeedReply &reply);
    void answerHeld();
    void endHeld(TimePoint now);
    void refuseHeld();
    void sendReply(const std::string &vm, FeedReply reply);
    void updateRole();
    void startWatching();
    void stopWatching();
    void review();
    void ask(const FeedAsk &ask);
    void readPrefixes(TimePoint now);
    void readPrefix(const std::string &prefix, ReadPrefix &state);
    Duration jittered(Duration interval);
    void scheduleTick(TimePoint now);
    void publish(const std::string &prefix, const std::vector<KeyValue> &values);
    void publishVms();
    void publishStatus();
    bool isConnected() const { return watching_ ? watchConnected_ : role_.isCurrent(); }
    std::string_view roleName() const;
    TimePoint now() const { return context_.clock->now(); }
    std::int64_t answerAgeMs() const;
    MetricsText metrics() const;
    boost::json::value state() const;

    FeedContext context_;
    std::shared_ptr<FeedSubscriptions> subscriptions_;
    std::mt19937_64 random_;
    FeedRole role_;
    FeedLog log_;
    FeedView view_;
    std::map<std::string, ReadPrefix, std::less<>> readPrefixes_;
    std::vector<VmEntry> vms_;
    LeavingServers leaving_;
    std::vector<CandidateVm> members_;
    std::map<std::string, Held, std::less<>> held_; ///< By the follower's VM.
    bool watching_ = false;
    bool watchConnected_ = false; ///< Of this proxy's own watch.
    bool publishedStatus_ = false;
    bool heardConnected_ = false; ///< The watcher's watch as last heard.
    std::uint64_t lastRequest_ = 0;
    TimePoint lastAnswer_{};
    TimePoint tickDue_{};
    std::uint64_t requestsAnswered_ = 0;
    std::uint64_t bytesSent_ = 0; ///< Keys and values.
};

} // namespace shallotwalk
