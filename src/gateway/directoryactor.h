#pragma once

#include "gateway/messages.h"
#include "gateway/registryrecords.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace shallotwalk {

/// Collaborators and settings of a DirectoryActor.
struct DirectoryContext
{
    FleetMember self; ///< This proxy, as its entry in the store describes it.
    GatewayProtocols protocols;
    caf::actor watchCaller; ///< HttpCaller for listings and watches.
    caf::actor storeCaller; ///< HttpCaller for all other calls to the store.
    caf::actor feedCaller;  ///< HttpCaller for requests to watchers of the store.
    caf::actor feed;        ///< Gets FeedLoaded, FeedChanged, FeedConnected and FeedStopped.
    caf::actor groups;      ///< Gets DirectoryChanged, SuspicionsChanged and PromotionRecorded.
    caf::actor exchange;    ///< Gets FleetChanged.
    caf::actor quotas;      ///< Gets FleetChanged and QuotasChanged.
    std::shared_ptr<const Clock> clock;
    DirectorySourceSettings source;
    /// Longest time that the store may hold a watch after a failed call, so that it is soon known
    /// that the store answers again.
    Duration watchWaitAfterFailure{std::chrono::milliseconds(200)};
    /// Time beyond the wait for the answer to a watch to arrive.
    Duration watchAnswerMargin{std::chrono::milliseconds(700)};
    /// Timeout of all calls other than watches.
    Duration callTimeout{std::chrono::milliseconds(1000)};
    /// Delay before a failed write of the fleet entry is repeated.
    Duration retryDelay{std::chrono::milliseconds(250)};
    /// Time after which the store removes the fleet entry of a proxy that doesn't renew its lease.
    /// Until then the proxy is allotted a share of the connections to the servers.
    Duration leaseDuration{std::chrono::milliseconds(6000)};
    /// Time between two renewals of the lease.
    Duration leaseRenewal{std::chrono::milliseconds(2000)};
    /// Time after the store has gone back to an older copy over which the proxies register anew,
    /// so that they don't all call it at once.
    Duration rejoinSpread{std::chrono::milliseconds(1000)};
    /// Time between two attempts to write promotion records that the store has lost.
    Duration restoreInterval{std::chrono::milliseconds(1000)};
};

/// State of the broker that keeps the Directory up to date: it lists the store once, then watches
/// it from the revision of the listing, or asks another proxy that does, as DirectorySource
/// decides. It also registers this proxy in the fleet by an entry in
/// the store that is bound to a lease.
///
/// The store may go back to an older copy, with which a new era begins. What is known stays in
/// force until the entries of the new era have been read. Then this proxy registers anew, and
/// witnesses write promotion records again that the copy lacks.
class DirectoryActor
{
public:
    using Broker = caf::stateful_actor<DirectoryActor, MailboxClosingBroker>;

    explicit DirectoryActor(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, DirectoryContext context);

    static inline const char *name = "directory";

private:
    using ReviewSource = caf::atom_constant<caf::atom("source")>;

    template<class Decode, class Handle>
    void call(const caf::actor &caller, std::string_view kind, HttpCall call, Decode decode,
              Handle handle, void (DirectoryActor::*failed)());

    caf::behavior start(DirectoryContext context);
    void list(std::string after);
    void handlePage(StorePage page);
    void listFailed();
    void watch();
    void continueWatching();
    void handleChanges(StoreChanges changes);
    void watchFailed();
    void reviewSource();
    void updateWatching();
    void loadFeed();
    void askWatcher(SourceRequest request);
    void handleResult(const std::string &watcher, const HttpCallResult &result);
    void handleReply(const std::string &watcher, FeedReply reply);
    void watcherFailed(const std::string &watcher, std::string_view error);
    void applyNews(std::span<const KeyValue> news);
    void removeKeys(KeyValue &item) const;
    void logIgnoredTeams(const OperatorConfiguration &configuration) const;
    void applyItem(const KeyValue &item);
    void applyInvalidItem(const KeyValue &item, std::string_view reason);
    void applyRemoval(std::string_view key);
    void noteEra(std::int64_t era);
    void reportPromotion(const PromotionRecord &record);
    void scheduleRestoring();
    void restorePromotions();
    void restoreFailed();
    bool leaseHolds() const { return lease_ != 0 && leaseEra_ == era_; }
    void joinFleet();
    void writeFleetEntry();
    void renew();
    void leaseFailed();
    void scheduleRenewal(Duration delay);
    void suspicionWriteFailed();
    void leaveFleet();
    void handleStoreFailure(std::string_view call, std::string_view error);
    void handleStoreAnswer();
    void publish();
    void publishDirectory();
    void publishQuotas();
    void publishSuspicions(std::string_view service);
    void reportSuspicion(const ReportSuspicion &message);
    void scheduleExpiry();
    StateDump dump() const;
    MetricsText metrics() const;

    Broker *self_;
    DirectoryContext context_;
    Directory directory_;
    std::optional<DirectorySource> source_;
    StoreRevision listRevision_;      ///< Revision of the first page of the listing in progress.
    std::vector<KeyValue> listItems_; ///< Items of the listing in progress.
    bool listed_ = false;             ///< The store has been listed completely.
    /// A listing, a watch, or the delay before one is in progress.
    bool storeCallInProgress_ = false;
    bool watching_ = false; ///< As last decided by the source.
    /// When the source is to be reviewed; messages for later times are ignored.
    TimePoint sourceDueAt_ = TimePoint::max();
    std::int64_t era_ = 0;      ///< Newest era of the store that was heard of.
    std::uint64_t lease_ = 0;   ///< Lease of this proxy's fleet entry; 0: none.
    std::int64_t leaseEra_ = 0; ///< Era of the store that granted it.
    bool restoring_ = false;    ///< A RestorePromotions message is scheduled.
    /// Number of the latest scheduled renewal; messages for earlier ones are ignored.
    std::uint64_t renewalNumber_ = 0;
    /// Services whose suspicions have changed since the last publication.
    std::set<std::string, std::less<>> changedSuspicions_;
    TimePoint lastWatchAt_;         ///< Start of the last watch.
    bool directoryChanged_ = false; ///< Changed since the last publication.
    bool expiryScheduled_ = false;  ///< An ExpireEntries message is scheduled.
    bool leaving_ = false;          ///< The fleet has been left; no new lease is requested.
    InvalidEntries invalidEntries_; ///< Entries ignored because they could not be decoded.
    /// Number of calls made to the store, by kind.
    std::map<std::string, std::uint64_t, std::less<>> storeCalls_;
    WatchPacer pacer_;
    TimePoint lastAnswerAt_;         ///< Time of the last successful answer of the store.
    TimePoint configurationTakenAt_; ///< Time when the configuration in force was adopted.
};

} // namespace shallotwalk
