#pragma once

#include "core/directory.h"
#include "core/groupport.h"
#include "core/logfloor.h"
#include "core/promotionplanner.h"
#include "core/serverlink.h"
#include "core/staleness/watermarksharing.h"
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
    /// Times of the probes of an idle primary. The positions in its replies become the watermarks
    /// that bound the staleness of reads at replicas.
    WatermarkSharingSettings watermarks;
    /// Interval between status requests to an idle replica.
    Duration replicaProbeInterval{std::chrono::milliseconds(2000)};
    /// Interval between status requests to each server while the primary is unavailable. A
    /// promotion takes 600 ms or more.
    Duration reportInterval{std::chrono::milliseconds(100)};
    /// Interval at which a suspicion that still holds is reported again to the other proxies.
    Duration suspicionInterval{std::chrono::milliseconds(1000)};
    /// Time after the primary became unavailable during which statements wait for one; a failover
    /// takes about as long. Later statements are refused at once, because another proxy may still
    /// reach the primary.
    Duration failoverWaitLimit{std::chrono::milliseconds(1500)};
    /// Time limit for opening a connection, which takes several round trips and the server's own
    /// work, and for the proxy's own commands.
    Duration openTimeout{std::chrono::milliseconds(1000)};
    /// Maximum number of times one request is sent to a server, the first time included.
    unsigned attemptLimit = 4;
    /// Requests are refused this long before their deadline, so that the refusal reaches the client
    /// in time.
    Duration refusalMargin{std::chrono::milliseconds(30)};
    /// A transaction that runs no statement for this long is rolled back; 0: never.
    Duration transactionIdleLimit{std::chrono::milliseconds(3000)};
    /// Whether reads avoid servers that answer with errors, and a read that fails is tried once
    /// more at another server.
    bool avoidFailingServers = false;
    /// Spreads the attempts of several proxies to open connections; differs between proxies.
    std::uint64_t randomSeed = 0;
    /// Creates the admission policy that holds the request queue of one server.
    std::function<std::unique_ptr<AdmissionPolicy>()> makePolicy;
};

/// Event counts of a GroupScheduler since it was created.
struct GroupCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answeredByReplica = 0;
    std::uint64_t answeredByPrimary = 0;
    std::uint64_t retries = 0;
    std::map<AnswerCode, std::uint64_t> errors; ///< Number of error answers by code.
    /// Requests that were found unanswered after their deadline.
    std::uint64_t requestsStranded = 0;
    std::uint64_t promotionsOrdered = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsLost = 0;
    std::uint64_t connectionsRefused = 0; ///< Openings that a server refused.
    std::uint64_t repliesLost = 0;        ///< Connections closed because a reply was missing.
    std::uint64_t repliesWithheld = 0;    ///< Errors that awaited the replies due behind them.
    std::uint64_t watermarksHeard = 0;    ///< Watermarks that other proxies have passed on.
    std::uint64_t watermarksShared = 0;   ///< Watermarks passed on to other proxies.
};

/// Runs clients' statements on the backend servers of one group. It chooses the server, keeps each
/// transaction on its connection, applies each client's session values to the connection, bounds
/// the staleness of reads at replicas, retries requests that certainly did not run or only read,
/// refuses requests early that can't be served in time, and requests the replacement of a failed or
/// leaving primary. Not thread-safe. Times must not decrease from call to call.
class GroupScheduler
{
public:
    /// \a port must outlive the scheduler. \pre \a settings has makePolicy.
    GroupScheduler(GroupSchedulerSettings settings, GroupPort &port);

    /// Replaces the list of the group's servers with \a servers.
    void setServers(std::span<const ServerRegistration> servers, TimePoint now);

    /// Sets how many connections this proxy may hold to each server, and for how long.
    void setConnections(const ConnectionAllotment &allotment, TimePoint now);

    const ConnectionAllotment &connections() const { return allotment_; }

    /// Sets the number of replicas that must have received a commit before it is acknowledged.
    void setConfirmReplicas(std::uint32_t count);

    /// Sets whether each connection belongs to one team and runs only its statements. Otherwise
    /// any statement may run on any connection.
    void setConnectionsPerTeam(bool perTeam) { connectionsPerTeam_ = perTeam; }

    void setTransactionIdleLimit(Duration limit) { settings_.transactionIdleLimit = limit; }

    /// Takes a request, whose outcome is delivered with GroupPort::answer().
    void submit(GroupRequest request, TimePoint now);

    /// Rolls back the open transaction of \a session and cancels its waiting request. To be called
    /// when the client asks for a rollback or has disconnected.
    void endTransaction(SessionNumber session, TimePoint now);

    /// Reports that a connection could not be opened or was closed by the server.
    void connectionLost(ServerConnectionKey key, std::string_view reason, TimePoint now);

    /// Reports a reply. Replies of a connection must be reported in the order of its commands; the
    /// first one is the outcome of opening the connection.
    void replied(ServerConnectionKey key, ServerReply reply, TimePoint now);

    /// Reports that a proxy, this one or another, has ordered a promotion. Records may be reported
    /// in any order and more than once.
    void promotionSeen(const PromotionRecord &record, TimePoint now);

    /// Returns how long to wait before confirmsPromotion() is asked about the last choice. A choice
    /// that took long to record, because the store was away, waits for entries of servers that have
    /// joined meanwhile.
    Duration confirmationDelay(TimePoint now) const;

    /// Returns whether the choice of \a server, which has been recorded since it was made, still
    /// holds, so that the order may be given. A choice that is older than the reports that it rests
    /// on is checked again: while the store was away, the primary may have returned, or replicas
    /// may have joined and confirmed commits that \a server lacks.
    bool confirmsPromotion(std::string_view server, TimePoint now) const;

    /// Reports that the promotion of \a server, ordered by this proxy, can't be carried out.
    void promotionFailed(std::string_view server, TimePoint now);

    /// Sets whether this proxy is a witness, whose view of the primary counts, and its \a rank
    /// among those that ask the primary for its position. Only witnesses report suspicions and
    /// order promotions. They stay connected to all servers.
    void setWitness(bool witness, std::size_t rank);

    /// Another proxy has passed on that the primary's log ended at \a position when it answered a
    /// command sent at \a sentAt or later.
    void watermarkHeard(Position position, TimePoint sentAt, TimePoint now);

    /// Another proxy has passed on that a commit at \a position or beyond has been acknowledged.
    void acknowledgedHeard(Position position);

    /// Sets the primaries that the other witnesses suspect of being unable to serve, with one entry
    /// for each suspecting witness, and the number of \a witnesses, including this proxy if it is
    /// one.
    void setSuspicions(std::vector<std::string> servers, std::size_t witnesses, TimePoint now);

    /// Handles everything that is due at \a now: timeouts, probes, the review of the primary, and
    /// waiting requests.
    void tick(TimePoint now);

    /// Returns the time at which tick() must be called if nothing else happens.
    TimePoint nextDue(TimePoint now) const;

    /// Returns whether some server may get requests and has an open connection, or can be expected
    /// to accept one.
    bool canServe(TimePoint now) const;

    /// Returns why the primary must be replaced; empty if it need not be.
    const std::string &suspicion() const { return suspicion_; }

    /// Returns the replicas that prevent a promotion, because no server to promote is known to hold
    /// the commits that they may have confirmed.
    std::span<const std::string> blockedBy() const { return blockedBy_; }

    /// Returns why the most recently lost or aborted connection ended.
    const std::string &lastConnectionError() const { return lastConnectionError_; }

    /// Returns the term for which replicas must pause before a promotion; 0 if they need not.
    Term pauseTerm() const { return pauseTerm_; }

    const GroupCounters &counters() const { return counters_; }
    const std::map<std::uint32_t, ServerLink> &servers() const { return servers_; }
    const Watermarks &watermarks() const { return watermarks_; }
    std::size_t openRequests() const { return requests_.size(); }
    std::size_t openTransactions() const { return transactions_.size(); }

private:
    using ServerNumber = std::uint32_t;

    /// Ids of control connections, which no budget counts, begin here.
    static constexpr ConnectionId firstControlConnection = ConnectionId{1} << 32;

    struct Pending
    {
        enum class Stage {
            Queued,
            Connecting, ///< A connection is being opened for it.
            Running,
            AwaitingServer,
        };

        GroupRequest request;
        Stage stage = Stage::Queued;
        ServerConnectionKey target; ///< Connection of the request; while queued, only its server.
        unsigned attempts = 0;
        bool needsPrimary = false;
        std::optional<ServerNumber> failedAt; ///< Server that has answered it with an error.
        /// Position that a replica's log must hold; empty if only the primary may serve it.
        std::optional<Position> requiredPosition;
        TimePoint sentAt;
        Position logEndBefore; ///< End of the primary's log as known at sentAt.
        std::optional<TimePoint> firstSentAt;
        TimePoint holdUntil; ///< Time of refusal if no server could be reached before.
    };
    struct Transaction
    {
        ServerConnectionKey connectionKey;
        bool onPrimary = false; ///< Begun without BeginReadOnly, so only a primary continues it.
        bool wrote = false;
        TimePoint lastUsed;
    };
    using Requests = std::unordered_map<RequestNumber, Pending>;

    // Choosing a server
    void dispatch(Pending &pending, TimePoint now);
    std::vector<ServerNumber> candidates(const Pending &pending, TimePoint now) const;
    bool enqueue(Pending &pending, ServerNumber number, TimePoint now);
    TimePoint earliestStart(const ServerLink &link, TimePoint now) const;
    TimePoint earliestStart(TimePoint now) const;
    bool opensInTime(const ServerLink &link, TimePoint deadline, TimePoint now) const;
    void awaitServer(Pending &pending, TimePoint now);
    void dispatchWaiting(TimePoint now);
    Duration expectedResponse(const ServerLink &link, TimePoint now) const;
    void refuse(Pending &pending, std::string_view text);

    // Sending
    void startQueued(ServerNumber number, TimePoint now);
    void startQueuedPerTeam(ServerNumber number, TimePoint now);
    bool startOnIdleConnections(ServerNumber number, TimePoint now);
    void assignConnection(Pending &pending, ServerNumber number, TimePoint now);
    void releaseReservation(Pending &pending, TimePoint now);
    void startReserved(ServerConnectionKey key, TimePoint now);
    void closeIdleConnection(ServerConnectionKey key, TimePoint now);
    void start(Pending &pending, ServerConnectionKey key, TimePoint now);
    void continueTransaction(GroupRequest request, TimePoint now);
    void send(ServerConnectionKey key, ServerConnection &connection,
              std::span<const ServerCommand> commands, std::span<const ExpectedReply> kinds,
              TimePoint now);
    ServerCommand toCommand(const GroupRequest &request, const ConnectionContent &content) const;
    bool mayBurst(const ServerLink &link, TimePoint now) const;
    std::size_t connectionLimit(const ServerLink &link, TimePoint now) const;
    void openConnection(ServerNumber number, ConnectionId id, TimePoint now);

    // Replies
    void handleReply(ServerConnectionKey key, ServerReply reply, const OutstandingCommand &expected,
                     TimePoint now);
    void handleOpening(ServerConnectionKey key, const ServerReply &reply, TimePoint now);
    void handleRefusal(ServerNumber number, AnswerCode code, TimePoint now);
    void handleBegin(ServerConnectionKey key, const ServerReply &reply, TimePoint now);
    void handleStatement(ServerConnectionKey key, ServerReply reply, const OutstandingCommand &sent,
                         TimePoint now);
    void handleReport(ServerLink &link, const ServerReply &reply, TimePoint sentAt, TimePoint now);
    void handleDemotion(ServerLink &link, const ServerReply &reply, TimePoint sentAt,
                        TimePoint now);
    void resumeReplica(ServerNumber number, TimePoint now);
    void discardReply(ServerConnectionKey key, const ServerReply &reply, TimePoint now);
    void handleSuccess(ServerConnectionKey key, Pending &pending, ServerReply reply, TimePoint now);
    void withholdCommit(ServerConnectionKey key, Pending &pending, TimePoint now);
    void handleError(ServerConnectionKey key, Pending &pending, AnswerCode code,
                     const ServerReply &reply, TimePoint now);
    void recordError(ServerConnectionKey key, const Pending &pending, AnswerCode code,
                     TimePoint now);
    bool mayRetry(const Pending &pending, AnswerCode code, TimePoint now) const;
    bool mayReadElsewhere(const Pending &pending, AnswerCode code, TimePoint now) const;
    void recordRetry(const Pending &pending, std::optional<AnswerCode> code);
    void clearPrimary(ServerLink &link, TimePoint now);
    void recordWatermark(Position position, TimePoint sentAt);
    void recordAcknowledged(const ServerLink &link, const Pending &pending, Position logEnd);
    void finish(Pending &pending, GroupAnswer answer);
    void finishWithError(Pending &pending, AnswerCode code, std::string text);
    /// Ends \a pending in its server's admission policy, whether it is queued or running.
    void removeFromQueue(Pending &pending, bool ran, TimePoint now);
    void releaseConnection(ServerConnectionKey key, TimePoint now);
    void rollBack(ServerConnectionKey key, TimePoint now);
    void abortConnection(ServerConnectionKey key, std::string_view reason, TimePoint now);
    void removeConnection(ServerConnectionKey key, TimePoint now);
    void handleLostRequest(Pending &pending, bool wrote, TimePoint now);

    // Servers
    ServerLink *find(ServerNumber number);
    ServerConnection *find(ServerConnectionKey key);
    std::optional<ServerNumber> primary() const;
    bool usable(const ServerLink &link, TimePoint now) const;
    /// Whether this proxy keeps a connection to each server even without requests.
    bool keepsConnections() const { return allotment_.standing || witness_; }
    /// Whether a request can be sent to a server, on an open connection or on one that the server
    /// can be expected to accept.
    bool reachable(const ServerLink &link, TimePoint now) const;
    /// Whether a server is kept connected and asked for reports, even if it may get no requests.
    bool monitored(const ServerLink &link, TimePoint now) const;
    bool runsWithoutEntry(const ServerLink &link) const;
    /// Whether a server of the same id has been registered since \a link lost its entry.
    bool restarted(const ServerLink &link) const;
    Term newestTerm() const;
    /// Whether statements that need the primary must wait: it is unknown, suspected, not usable, or
    /// has been silent for half of the silence limit.
    bool primaryUnavailable(TimePoint now) const;
    /// Records that a server is the primary, unless the known primary has a newer term.
    void setPrimary(ServerNumber number, Term term, TimePoint now);
    void updateServer(ServerNumber number, const ServerRegistration &registration, TimePoint now);
    void retireServer(ServerNumber number, TimePoint now);
    void requeueFrom(ServerNumber number, TimePoint now);
    /// Closes unneeded idle connections, and removes an unregistered server that has no connections
    /// left.
    void closeSurplusConnections(ServerNumber number, TimePoint now);
    void keepConnected(ServerNumber number, TimePoint now);
    void reviewPrimary(TimePoint now);
    /// How long no primary has been known.
    Duration primaryMissingFor(TimePoint now) const;
    /// Whether a recorded promotion of another server may still end the term of \a link.
    bool supersededByOrder(const ServerLink &link) const;
    /// Whether a commit of \a link that ended at \a position is lost by a recorded promotion.
    bool mayBeRolledBack(const ServerLink &link, Position position) const;
    /// Whether writes must wait for the end of a promotion.
    bool writesMustWait(const GroupRequest &request) const;
    void wantDemotion(bool wanted, TimePoint now);
    /// Records that a replica which may have confirmed commits is gone, if it has lost the last of
    /// its entry and its open connections.
    void recordDeparture(ServerLink &link, TimePoint now);
    /// Whether a server that is gone is still tried: it may run without an entry, be silent for a
    /// moment and then confirm commits again.
    bool mayReturn(const ServerLink &link, TimePoint now) const;
    /// Whether a server led the newest term and isn't the primary any more.
    bool ledNewestTerm(const ServerLink &link) const;
    /// Asks for the reports that show that departed replicas held nothing more than others.
    void reviewDeparted(TimePoint now);
    void clearSuspicion();
    void reportSuspicion(bool suspected, TimePoint now);
    void updateAgreement();
    void updatePrimaryAvailability(TimePoint now);
    std::vector<FailoverCandidate> failoverCandidates(TimePoint now) const;
    bool mayHaveForked(const ServerLink &link, TimePoint now) const;
    void adoptPromotedServer(TimePoint now);
    void requestReports(TimePoint now);
    void probeIdle(ServerNumber number, TimePoint now);
    bool sendOnIdleConnection(ServerNumber number, std::span<const ServerCommand> commands,
                              std::span<const ExpectedReply> kinds, TimePoint now);
    bool sendOnControlConnection(ServerNumber number, const ServerCommand &command,
                                 ExpectedReply kind, TimePoint now);
    void moveFromSilentServer(ServerNumber number, TimePoint now);

    void expireRequests(TimePoint now);
    void endStranded(RequestNumber number, TimePoint now);
    void expireTransactions(TimePoint now);

    GroupSchedulerSettings settings_;
    GroupPort &port_;
    ConnectionAllotment allotment_;
    bool connectionsPerTeam_ = false;
    std::map<ServerNumber, ServerLink> servers_;
    ServerNumber nextServer_ = 1;
    ConnectionId nextControlConnection_ = firstControlConnection;
    Requests requests_;
    std::unordered_map<SessionNumber, Transaction> transactions_;
    std::vector<RequestNumber>
        awaitingServer_; ///< Waiting for a known primary or a connected server.
    Watermarks watermarks_;
    WatermarkSharing sharing_;
    PromotionPlanner planner_;
    LogFloor floor_;              ///< Of a server to promote; see PromotionPlanner::setLogFloor().
    Term sharedTerm_ = 0;         ///< Newest term of which an acknowledged commit was passed on.
    DepartedReplicas departed_;   ///< Empty where commits don't wait for replicas.
    bool historyUnknown_ = false; ///< Replicas may have come and left unseen until now.
    Term ledTerm_ = 0;            ///< Newest term that a primary is known to have led.
    std::vector<std::string> blockedBy_;
    std::uint32_t confirmReplicas_ = 0;
    Term pauseTerm_ = 0;                           ///< See pauseTerm().
    std::optional<PromotionRecord> lastPromotion_; ///< The newest record.
    bool primarySuspected_ = false;
    std::string suspicion_;
    std::vector<std::string> suspicions_; ///< Primaries that the other witnesses suspect.
    std::size_t witnesses_ = 1;
    bool witness_ = true;
    std::optional<std::string> reportedSuspicion_;
    TimePoint suspicionReportedAt_;
    TimePoint choiceMadeAt_; ///< Of the last promotion that this proxy wanted.
    std::optional<TimePoint> primaryUnavailableSince_;
    TimePoint primaryMissingSince_ = TimePoint::max();
    TimePoint lastTick_ = TimePoint{};
    TimePoint nextReview_ = TimePoint{};
    TimePoint nextDepartedReview_ = TimePoint{};
    std::string lastConnectionError_;
    GroupCounters counters_;
};

} // namespace shallotwalk
