#pragma once

#include "core/watchview.h"
#include "registry/messages.h"
#include "registry/storeclient.h"
#include "supervision/subscribers.h"

#include <map>
#include <random>

namespace shallotwalk {

/// How the store is watched.
struct StoreWatcherSettings
{
    StoreClientSettings store;
    Duration firstRetryDelay{std::chrono::milliseconds(100)};
    Duration longestRetryDelay{std::chrono::seconds(2)};
    /// Interval of the reads that detect a watch connection which has become unresponsive.
    Duration checkInterval{std::chrono::seconds(2)};
    /// Time within which the watch must report a change that such a read has shown.
    Duration checkGrace{std::chrono::milliseconds(500)};
    /// Longest wait for watch messages before the mailbox is served.
    Duration waitSlice{std::chrono::milliseconds(200)};
};

/// Subscribers by prefix.
using StoreSubscribers = std::map<std::string, Subscribers, std::less<>>;

/// Watches prefixes of the store for its subscribers. Must be spawned detached. For each prefix it
/// reads all keys, then watches from the next revision; after a loss, a compaction or a gap it
/// reads again. Changes arrive at least once, and never an older revision of a key after a newer
/// one. A subscriber gets a StoreWatchStatus and, once the prefix has been read, a StoreChanged
/// with all present keys (possibly none) first.
class StoreWatcher : public caf::event_based_actor
{
public:
    /// \a subscribers are those of an earlier run. \pre \a settings names at least one endpoint.
    StoreWatcher(
        caf::actor_config &config, StoreWatcherSettings settings,
        std::shared_ptr<const Clock> clock,
        std::shared_ptr<StoreSubscribers> subscribers = std::make_shared<StoreSubscribers>());

    caf::behavior make_behavior() override;

    /// Releases references to other actors: mutual references would keep both threads alive.
    void on_exit() override;

private:
    /// One watched prefix.
    struct Watch
    {
        HttpClient reads;
        HttpClient stream;
        WatchView view{};
        std::string received{}; ///< Start of a message whose end hasn't arrived.
        bool loaded = false;
        bool connected = false;
        unsigned failures = 0;
        std::size_t endpoint = 0;
        TimePoint retryAt{};
        TimePoint checkAt{};
        std::int64_t announcedRevision = 0; ///< The stream must reach it by \c announcedBy.
        TimePoint announcedBy{};
        std::string lastError{};
    };
    using Watches = std::map<std::string, Watch, std::less<>>;

    Watch &watchOf(const std::string &prefix);
    void subscribe(const StoreSubscribe &message);
    void unsubscribe(const caf::actor_addr &subscriber, std::string_view prefix = {});
    void runOnce();
    void scheduleNext();
    bool waitForMessages(TimePoint deadline) const;
    TimePoint nextEvent() const;
    void connectWatch(const std::string &prefix, Watch &watch);
    Result<void> readPrefix(const std::string &prefix, Watch &watch);
    void receive(const std::string &prefix, Watch &watch);
    Result<void> receiveChunk(const std::string &prefix, Watch &watch);
    Result<void> handleLine(const std::string &prefix, Watch &watch, std::string_view line);
    void check(const std::string &prefix, Watch &watch);
    Result<void> checkRevision(const std::string &prefix, Watch &watch);
    void loseWatch(const std::string &prefix, Watch &watch, std::string error);
    void publish(const StoreChanged &message);
    void publishStatus(const std::string &prefix, const Watch &watch);
    TimePoint callDeadline() const { return clock_->now() + settings_.store.callTimeout; }
    boost::json::value state() const;

    StoreWatcherSettings settings_;
    std::shared_ptr<const Clock> clock_;
    std::shared_ptr<StoreSubscribers> subscribers_;
    std::mt19937_64 random_;
    Watches watches_;
    bool scheduled_ = false;
};

} // namespace shallotwalk
