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

/// What a DirectoryActor works with.
struct DirectoryContext
{
    std::string vm; ///< Name of this proxy in the fleet.
    GatewayProtocols protocols;
    caf::actor watchCaller; ///< HttpCaller for waiting watches.
    caf::actor callCaller;  ///< HttpCaller for all other calls.
    caf::actor groups;      ///< Gets DirectoryChanged and PromotionRecorded.
    std::shared_ptr<const Clock> clock;
    /// A configuration must be in force within seconds, so a silent watch must end before.
    Duration watchWait{std::chrono::milliseconds(2000)};
    /// At least between two watches. Small against the time in which a primary is replaced.
    Duration watchSpacing{std::chrono::milliseconds(50)};
    Duration watchGrace{std::chrono::milliseconds(700)}; ///< For its answer to arrive.
    Duration callTimeout{std::chrono::milliseconds(1000)};
    Duration retryDelay{std::chrono::milliseconds(250)};
    /// A proxy counts for the sharing of connections until its lease has run out.
    Duration leaseDuration{std::chrono::milliseconds(6000)};
    Duration leaseRenewal{std::chrono::milliseconds(2000)};
};

/// State of the broker that keeps the Directory up to date: one listing of the store, then a watch
/// from its revision, and a lease that shows this proxy to the others.
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
    template<class Decode, class Handle>
    void call(const caf::actor &caller, HttpCall call, Decode decode, Handle handle,
              void (DirectoryActor::*failed)());

    caf::behavior start(DirectoryContext context);
    void list(std::string after);
    void handlePage(const StorePage &page);
    void listFailed();
    void watch();
    void watchAgain();
    void handleChanges(const StoreChanges &changes);
    void watchFailed();
    void applyItem(const KeyValue &item);
    void applyRemoval(std::string_view key);
    void joinFleet();
    void announce();
    void renew();
    void leaseFailed();
    void renewAfter(Duration delay);
    void suspicionFailed();
    void leaveFleet();
    void noteFailure(std::string_view call, std::string_view error);
    void noteAnswer();
    void publish();
    void publishDirectory();
    void publishSuspicions(std::string_view service);
    void reportSuspicion(const ReportSuspicion &message);
    void expireSoon();
    StateDump dump() const;
    MetricsText metrics() const;

    Broker *self_;
    DirectoryContext context_;
    Directory directory_;
    std::int64_t revision_ = 0;     ///< Up to which the directory is known.
    std::int64_t listRevision_ = 0; ///< Of the first page of the listing in progress.
    std::uint64_t lease_ = 0;       ///< 0: none.
    std::uint64_t renewal_ = 0;     ///< The renewal that is due next; earlier ones are void.
    std::set<std::string, std::less<>>
        suspicionsChanged_; ///< Services, since the last publication.
    TimePoint watchedAt_;   ///< Last call that waits for changes.
    bool changed_ = false;  ///< Since the last publication.
    bool expiryTimer_ = false;
    bool leaving_ = false;
    std::uint64_t badEntries_ = 0;
    std::uint64_t calls_ = 0; ///< To the store.
    TimePoint answeredAt_;    ///< Last answer of the store.
    TimePoint configurationTakenAt_;
};

} // namespace shallotwalk
