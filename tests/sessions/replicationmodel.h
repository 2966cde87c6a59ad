#pragma once

#include "sessions/fleetmodel.h"

#include <set>

namespace shallotwalk {

/// Size of a ReplicationModel and behaviour of its servers.
struct ReplicationModelSettings
{
    std::size_t proxies = 3;
    std::size_t servers = 3;           ///< At the start; the first is the primary.
    std::uint32_t confirmReplicas = 1; ///< Replicas that must have received a commit.
    std::size_t writers = 2;           ///< Clients with single writes at each proxy.
    std::size_t connectionLimit = 16;  ///< Of each server.
    Duration promotionTime{std::chrono::milliseconds(600)};
    bool obeysDemote = true; ///< Otherwise a primary answers a demotion and stays primary.
};

/// Several proxies, each with its own GroupScheduler, before one group whose commits wait for
/// replicas. It plays writes and faults in simulated time, with one random sequence for each seed,
/// and knows which acknowledged commits a promotion has lost.
class ReplicationModel
{
public:
    explicit ReplicationModel(ReplicationModelSettings settings, std::uint64_t seed = 1);
    ~ReplicationModel();

    void run(Duration duration);

    /// Adds a replica with the log of the primary and returns its id.
    std::string join();
    /// The server \a id announces that it leaves. It ends some seconds later.
    void leave(const std::string &id);
    void crash(const std::string &id);
    /// Starts a crashed server again, with its log.
    void restart(const std::string &id);
    /// The server \a id is silent for \a duration: it neither answers nor receives. Its connections
    /// stay, and what is sent to it is handled afterwards.
    void darken(const std::string &id, Duration duration);
    /// The server \a id runs on without reaching the store for \a duration, so that its entry may
    /// be removed.
    void cutFromStore(const std::string &id, Duration duration);
    /// The answers of \a id take \a delay longer for \a duration.
    void delayAnswers(const std::string &id, Duration delay, Duration duration);
    /// While \a deaf, the replica \a id receives nothing.
    void setDeaf(const std::string &id, bool deaf);
    /// Clients hold transactions on all connections that the proxies have to \a id; empty: none.
    void holdTransactions(const std::string &id);
    void freezeProxy(std::size_t proxy, Duration duration);
    void restartProxy(std::size_t proxy);
    void restartAllProxies();
    void takeStoreAway(Duration duration);

    std::string primary() const; ///< The running primary; empty if there is none.
    std::vector<std::string> replicas() const;
    bool running(const std::string &id) const;
    /// Servers that were promoted, in order.
    const std::vector<std::string> &promoted() const { return promoted_; }
    std::size_t acknowledged() const { return acknowledged_.size(); }
    /// Acknowledged commits that a server lacked when it was promoted, or that the log of the last
    /// primary lacks.
    std::size_t lost() const { return lostStatements().size(); }
    /// Time since a write was acknowledged.
    Duration sinceAcknowledged() const { return time_.now() - acknowledgedAt_; }
    std::uint64_t inDoubt() const { return inDoubt_; }
    /// Event log of faults and promotions, and what each proxy knows, to trace a failed run.
    std::string trace() const;

private:
    struct Server;
    struct LogEntry
    {
        Term term = 0;
        std::string statement;

        bool operator==(const LogEntry &) const = default;
    };
    class Proxy;

    void pump();
    void publish();
    void shareAcknowledged(std::size_t sender, Position acknowledged);
    void shareSuspicions();
    void writeRecord(Proxy &proxy, const PromotionChoice &choice);
    void tellRecord();
    void withdraw(Proxy &proxy, const PromotionRecord &record);
    void order(Proxy &proxy, const PromotionRecord &record);
    void confirmOrder(Proxy &proxy, const PromotionRecord &record);
    void demote(Server &primary, Term term);
    void endWaitingCommits(Server &primary);
    void lead(Server &chosen, std::int64_t token);
    Server &server(const std::string &id) const;
    Server *leader() const;
    /// Runs \a run now, or once \a target isn't dark any more.
    void whenAwake(Server &target, std::function<void()> run);
    void removeEntry(Server &silent);
    void registerAgain(Server &returned);
    void rollBack(Server &returned) const;
    Server &addServer();
    std::vector<std::string> missingFrom(const Server &holder) const;
    std::vector<std::string> lostStatements() const;
    std::string timeText() const;
    void note(std::string_view event, std::string_view subject);
    Duration between(Duration low, Duration high);
    /// Runs \a run after \a delay, but not while the store is away.
    void afterStore(Duration delay, std::function<void()> run);

    ReplicationModelSettings settings_;
    SimulatedTime time_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::vector<std::unique_ptr<Proxy>> endedProxies_; ///< Kept for events that refer to them.
    std::map<std::size_t, std::string> suspicions_;    ///< Suspected server by proxy.
    std::string leader_;                               ///< The last primary.
    std::vector<LogEntry> promotedLog_;                ///< Its log when it was promoted.
    std::string heldServer_;                           ///< See holdTransactions().
    Term term_ = 1;
    PromotionRecord record_;
    std::int64_t highestToken_ = 0;
    TimePoint storeBackAt_;
    std::uint64_t published_ = 0;
    RequestNumber requests_ = 0;
    std::set<std::string> acknowledged_;
    std::set<std::string> lostAtPromotions_;
    TimePoint acknowledgedAt_;
    std::map<std::string, std::string> acknowledgements_; ///< Where and when, for trace().
    std::uint64_t inDoubt_ = 0;
    std::vector<std::string> promoted_;
    std::string events_;
};

} // namespace shallotwalk
