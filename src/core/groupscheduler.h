#pragma once

#include "core/directory.h"
#include "core/groupport.h"
#include "core/promotionplanner.h"
#include "core/serverlink.h"
#include "core/watermarks.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwalk {

/// Settings of a GroupScheduler.
struct GroupSchedulerSettings
{
    std::string service;
    FailoverSettings failover;
    /// Between questions to an idle primary, whose answers bound the staleness of replicas.
    Duration primaryProbeInterval{std::chrono::milliseconds(400)};
    Duration replicaProbeInterval{std::chrono::milliseconds(2000)};
    /// Between reports of replicas while the primary is in doubt. A promotion takes 600 ms or more.
    Duration reportInterval{std::chrono::milliseconds(100)};
    /// Between repetitions of a report to the other proxies.
    Duration suspicionInterval{std::chrono::milliseconds(1000)};
    /// Statements wait so long for a primary that has just failed, as long as a change takes. Later
    /// ones are refused at once, because another proxy may reach it.
    Duration failoverPatience{std::chrono::milliseconds(1500)};
    /// For the opening of a connection: several round trips and the server's own time.
    Duration openTimeout{std::chrono::milliseconds(1000)};
    /// Attempts of one request on servers, the first included.
    unsigned attemptLimit = 4;
    /// Before a request's deadline, for the refusal to reach the client.
    Duration refusalMargin{std::chrono::milliseconds(30)};
    /// A transaction without statements for longer is rolled back; 0: never.
    Duration transactionIdleLimit{std::chrono::milliseconds(3000)};
    /// Makes the queue of one server.
    std::function<std::unique_ptr<AdmissionPolicy>()> makePolicy;
};

/// Counters of a GroupScheduler since its start.
struct GroupCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answeredByReplica = 0;
    std::uint64_t answeredByPrimary = 0;
    std::uint64_t retries = 0;
    std::map<AnswerCode, std::uint64_t> errors; ///< Answers by code.
    std::uint64_t promotionsOrdered = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsLost = 0;
};

/// Runs clients' statements on the backend servers of one group: chooses the server, keeps
/// transactions on their connection, brings connections to each client's session values, bounds the
/// age of what replicas serve, repeats what certainly didn't run or only read, refuses early what
/// can't be served, and has a failed or leaving primary replaced. Not thread-safe. Times must not
/// decrease from call to call.
class GroupScheduler
{
public:
    /// \a port must outlive the scheduler. \pre \a settings has makePolicy.
    GroupScheduler(GroupSchedulerSettings settings, GroupPort &port);

    /// Takes the present list of servers.
    void setServers(std::span<const ServerRegistration> servers, TimePoint now);

    /// Connections that this proxy may hold to each server.
    void setConnectionShare(std::size_t share, TimePoint now);

    std::size_t connectionShare() const { return connectionShare_; }

    /// Connections that this proxy may hold for a moment, beyond its share and as long as the
    /// server accepts them, while work waits and its share is in use.
    void setConnectionBurst(std::size_t limit) { connectionBurst_ = limit; }

    /// A commit is acknowledged once \a count replicas have received it.
    void setConfirmReplicas(std::uint32_t count);

    void setTransactionIdleLimit(Duration limit) { settings_.transactionIdleLimit = limit; }

    void submit(GroupRequest request, TimePoint now);

    /// Rolls back what \a session has open, and drops what it waits for. For a client that asked
    /// for it or that has left.
    void endTransaction(SessionNumber session, TimePoint now);

    void connectionLost(ServerConnectionKey key, std::string_view reason, TimePoint now);

    /// A reply has come, in order. The first one of a connection is that to its opening.
    void replied(ServerConnectionKey key, ServerReply reply, TimePoint now);

    /// A proxy, this one or another, has ordered a promotion. Records come in any order and again.
    void promotionSeen(const PromotionRecord &record, TimePoint now);

    /// The order of this proxy can't be carried out.
    void promotionFailed(std::string_view server, TimePoint now);

    /// Whether this proxy's view of the primary counts. Only such a proxy reports suspicions and
    /// orders promotions.
    void setWitness(bool witness) { witness_ = witness; }

    /// The primaries that the other witnesses find unable to serve, one entry a witness, and the
    /// number of witnesses, with this proxy if it is one.
    void setSuspicions(std::vector<std::string> servers, std::size_t witnesses, TimePoint now);

    /// Time has passed.
    void tick(TimePoint now);

    /// Time at which tick() must be called if nothing else happens.
    TimePoint nextDue(TimePoint now) const;

    /// Whether a request could be sent to some server now.
    bool canServe(TimePoint now) const;

    /// Why the primary must be replaced; empty if it need not.
    const std::string &suspicion() const { return suspicion_; }

    /// Why the last connection ended.
    const std::string &lastConnectionError() const { return lastConnectionError_; }

    /// The term for which replicas must pause before a promotion; 0: none.
    Term pauseTerm() const { return pauseWanted_ ? newestTerm() + 1 : 0; }

    const GroupCounters &counters() const { return counters_; }
    const std::map<std::uint32_t, ServerLink> &servers() const { return servers_; }
    const Watermarks &watermarks() const { return watermarks_; }
    std::size_t openRequests() const { return requests_.size(); }
    std::size_t openTransactions() const { return transactions_.size(); }

private:
    using ServerNumber = std::uint32_t;

    struct Pending
    {
        enum class Stage { Queued, Running, AwaitingServer };

        GroupRequest request;
        Stage stage = Stage::Queued;
        ServerConnectionKey place; ///< Its queue, or its connection.
        unsigned attempts = 0;
        bool needsPrimary = false;
        std::optional<Position> after; ///< A replica must hold it; empty: needs the leader.
        TimePoint sentAt;
        std::optional<TimePoint> firstSentAt;
        TimePoint holdUntil; ///< While no server could run it.
    };
    struct Transaction
    {
        ServerConnectionKey place;
        bool plain = false; ///< Only a leader goes on with it.
        bool wrote = false;
        TimePoint lastUsed;
    };
    using Requests = std::unordered_map<RequestNumber, Pending>;

    // Placing
    void place(Pending &pending, TimePoint now);
    std::vector<ServerNumber> candidates(const Pending &pending, TimePoint now) const;
    bool enqueue(Pending &pending, ServerNumber number, TimePoint now);
    void awaitServer(Pending &pending, TimePoint now);
    void placeWaiting(TimePoint now);
    Duration expectedResponse(const ServerLink &link, TimePoint now) const;
    void refuse(Pending &pending, std::string_view text);

    // Running
    void pump(ServerNumber number, TimePoint now);
    void start(Pending &pending, ServerConnectionKey key, TimePoint now);
    void continueTransaction(GroupRequest request, TimePoint now);
    void send(ServerConnectionKey key, ServerConnection &connection,
              std::span<const ServerCommand> commands, std::span<const ExpectedReply> kinds,
              TimePoint now);
    ServerCommand toCommand(const GroupRequest &request) const;
    bool mayBurst(const ServerLink &link, TimePoint now) const;
    std::size_t connectionLimit(const ServerLink &link, TimePoint now) const;
    void openConnection(ServerNumber number, ConnectionId id, TimePoint now);

    // Replies
    void handleOpening(ServerConnectionKey key, const ServerReply &reply, TimePoint now);
    void handleBegin(ServerConnectionKey key, const ServerReply &reply, TimePoint now);
    void handleStatement(ServerConnectionKey key, ServerReply reply, TimePoint sentAt,
                         TimePoint now);
    void handleReport(ServerLink &link, const ServerReply &reply, TimePoint now);
    void resumeReplica(ServerNumber number, TimePoint now);
    void discardReply(ServerConnectionKey key, const ServerReply &reply, TimePoint now);
    void handleSuccess(ServerConnectionKey key, Pending &pending, ServerReply reply, TimePoint now);
    void handleError(ServerConnectionKey key, Pending &pending, AnswerCode code,
                     const ServerReply &reply, TimePoint now);
    void noteError(ServerConnectionKey key, const Pending &pending, AnswerCode code, TimePoint now);
    bool mayRepeat(const Pending &pending, AnswerCode code, TimePoint now) const;
    void noteRepetition(const Pending &pending, std::optional<AnswerCode> code);
    void notLeading(ServerLink &link, TimePoint now);
    void finish(Pending &pending, GroupAnswer answer);
    void finishWith(Pending &pending, AnswerCode code, std::string text);
    void leaveQueue(Pending &pending, bool ran, TimePoint now);
    void release(ServerConnectionKey key, TimePoint now);
    void rollBack(ServerConnectionKey key, TimePoint now);
    void breakConnection(ServerConnectionKey key, std::string_view reason, TimePoint now);
    void loseConnection(ServerConnectionKey key, TimePoint now);
    void failRunning(Pending &pending, bool timedOut, TimePoint now);

    // Servers
    ServerLink *find(ServerNumber number);
    ServerConnection *find(ServerConnectionKey key);
    std::optional<ServerNumber> primary() const;
    bool usable(const ServerLink &link, TimePoint now) const;
    /// Whether the state of a server matters, though it may get no more work.
    bool observed(const ServerLink &link, TimePoint now) const;
    Term newestTerm() const;
    bool primaryInDoubt(TimePoint now) const;
    void becomePrimary(ServerNumber number, Term term, TimePoint now);
    void updateServer(ServerNumber number, const ServerRegistration &registration, TimePoint now);
    void retireServer(ServerNumber number, TimePoint now);
    void requeueFrom(ServerNumber number, TimePoint now);
    /// Closes idle connections beyond the share, and forgets a server that has left once it has
    /// none.
    void closeSurplus(ServerNumber number, TimePoint now);
    void keepConnected(ServerNumber number, TimePoint now);
    void reviewPrimary(TimePoint now);
    void clearDoubt();
    void reportSuspicion(bool suspected, TimePoint now);
    void updateAgreement();
    void noteDoubt(TimePoint now);
    std::vector<FailoverCandidate> failoverView(TimePoint now) const;
    bool mayHaveForked(const ServerLink &link, TimePoint now) const;
    void followPromotion(TimePoint now);
    void askReports(TimePoint now);
    void probeIdle(ServerNumber number, TimePoint now);
    bool ask(ServerNumber number, std::span<const ServerCommand> commands,
             std::span<const ExpectedReply> kinds, TimePoint now);

    bool askBehindStatement(ServerNumber number, const ServerCommand &command, ExpectedReply kind,
                            TimePoint now);
    void moveFromSilent(ServerNumber number, TimePoint now);

    void expireRequests(TimePoint now);
    void expireTransactions(TimePoint now);

    GroupSchedulerSettings settings_;
    GroupPort &port_;
    std::size_t connectionShare_ = 1;
    std::size_t connectionBurst_ = 1;
    std::map<ServerNumber, ServerLink> servers_;
    ServerNumber nextServer_ = 1;
    Requests requests_;
    std::unordered_map<SessionNumber, Transaction> transactions_;
    std::vector<RequestNumber>
        awaitingServer_; ///< Until the primary is known, or any is connected.
    Watermarks watermarks_;
    PromotionPlanner planner_;
    std::uint32_t confirmReplicas_ = 0;
    bool pauseWanted_ = false;                     ///< Before a promotion.
    std::optional<PromotionRecord> lastPromotion_; ///< The newest that was seen.
    bool primarySuspected_ = false;
    std::string suspicion_;
    std::vector<std::string> suspicions_; ///< Of the other witnesses.
    std::size_t witnesses_ = 1;
    bool witness_ = true;
    std::optional<std::string> reportedSuspicion_;
    TimePoint suspicionReportedAt_;
    std::optional<TimePoint> doubtSince_; ///< Since when the primary can't be used.
    TimePoint primaryMissingSince_ = TimePoint::max();
    TimePoint lastTick_ = TimePoint{};
    TimePoint nextReview_ = TimePoint{};
    std::string lastConnectionError_;
    GroupCounters counters_;
};

} // namespace shallotwalk
