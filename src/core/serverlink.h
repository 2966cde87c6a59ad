#pragma once

#include "core/admissionpolicy.h"
#include "core/connectionbudget.h"
#include "core/connectioncontent.h"
#include "core/connections/connectionallotment.h"
#include "core/grouprequest.h"
#include "core/replysequence.h"
#include "core/responseestimate.h"
#include "core/routing/errorwatch.h"
#include "core/serverregistration.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shallotwalk {

/// State of one connection to a backend server.
struct ServerConnection
{
    bool open = false;
    std::string team; ///< Team that it was opened for; empty: none.
    /// While it is being opened: the request that runs on it first, if it is for a certain one.
    std::optional<RequestNumber> reservedFor;
    ReplySequence replies;
    ConnectionContent content;
    std::optional<RequestNumber> request; ///< The request that runs on the connection.
    std::optional<SessionNumber> session; ///< Session whose transaction is open on the connection.
    /// Commands to be sent once the outstanding begin has succeeded. They aren't sent together with
    /// it, because after a failed begin the server would run them outside of any transaction.
    std::vector<ServerCommand> afterBegin;
    /// Only a primary accepts the running statement, so its success shows that the server is one.
    bool provesPrimary = false;
    TimePoint lastUsed;
    /// Carries only commands of the proxy, so that the server can be asked while all other
    /// connections wait for replies or hold transactions.
    bool control = false;

    /// Returns whether a request or a command of the proxy may use the connection now.
    bool idle() const { return open && replies.empty() && !session && !request && !control; }
};

/// State of one backend server of a group, with its connections and the queue of requests that wait
/// for one of them. Not thread-safe.
class ServerLink
{
public:
    /// \a randomSeed spreads the attempts of several proxies to open connections.
    ServerLink(ServerRegistration entry, std::unique_ptr<AdmissionPolicy> queue,
               const ConnectionAllotment &allotment, std::uint64_t randomSeed);

    ServerRegistration registration;
    bool registered = true; ///< Whether the server is in the current list of servers.
    bool primary = false;
    Term term = 0;
    Position position;        ///< End of the server's log as reads see it, from its latest reply.
    Position received;        ///< ServerReport::received, latest value; may exceed \c position.
    Term pausedUntilTerm = 0; ///< ServerReport::pausedUntilTerm of the latest report.
    /// Where its log ended while it was paused for \c stoppedUntilTerm, whether or not it has been
    /// reached since.
    Position stoppedAt;
    Term stoppedUntilTerm = 0;
    bool lastPrimary = false; ///< It is or was the primary, and hasn't been a replica since.
    Term replicaTerm = 0;     ///< Newest term in which it reported itself as a replica.
    Term ledTerm = 0;         ///< Newest term in which it reported itself as the primary.
    /// Whether it reported itself as a replica after a demotion, and no successor is known.
    bool demoted = false;
    TimePoint demotedAt = TimePoint{};
    std::optional<TimePoint> demotionWantedAt; ///< Since when a demotion has been wanted.
    bool demotionRefused = false; ///< It answered the last demotion, but is still primary.
    /// Since when it has had neither an entry nor an open connection, where commits wait for
    /// replicas.
    std::optional<TimePoint> departedAt;
    std::optional<TimePoint> leavingSince;
    TimePoint reportedAt = TimePoint{};
    TimePoint reportRequestedAt = TimePoint{};
    /// Until then the server gets no reads that need a newer position, because it was behind.
    TimePoint laggingUntil = TimePoint{};
    /// Until then no connections beyond the share are opened, because the server refused one.
    TimePoint burstRefusedUntil = TimePoint{};
    /// No control connection is opened before this, because of the last attempt.
    TimePoint controlRetryAt = TimePoint{};

    ConnectionBudget budget;
    std::map<ConnectionId, ServerConnection> connections;
    std::unique_ptr<AdmissionPolicy> policy;
    ResponseEstimate response;
    ErrorWatch errors;
    Duration openingTime{0}; ///< Time that the last opening of a connection took.

    /// Records that commands were sent, whose replies are due from now on.
    void commandsSent(TimePoint now);

    /// Records the arrival of a reply. \pre Its connection has taken it.
    void replyReceived(TimePoint now);

    /// Records that a connection could not be opened, was closed by the server, or timed out.
    void connectionFailed(TimePoint now);

    /// Restarts the measurement of silence() and refusedFor(). To be called after this process was
    /// suspended, which must not be taken for silence of the server.
    void restartTimers(TimePoint now);

    /// Returns the time for which replies have been due without any arriving; 0 if none is due.
    Duration silence(TimePoint now) const;

    /// Returns whether a connection has failed since the last reply.
    bool failing() const { return failingSince_.has_value(); }

    /// Returns the time since the first connection failure after the last reply; 0 if there was
    /// none or a connection is open.
    Duration refusedFor(TimePoint now) const;

    TimePoint lastReplyAt() const { return lastReplyAt_; }

    /// Returns whether any reply is due on the existing connections.
    bool awaitsReply() const;

    /// Returns whether a reply to a command of the proxy, or to an opening, is due.
    bool awaitsOwnReply() const;

    /// Returns whether a reply to a request is due.
    bool runsStatement() const;

    /// Returns the number of open connections for requests.
    std::size_t openConnections() const;

    /// Returns the number of connections for requests, those that are being opened included.
    std::size_t requestConnections() const;

    /// Returns the connections for requests, without those that hold an open transaction.
    Capacity capacity() const;

private:
    /// Time since which replies have been due. Kept when the connection of an unanswered command is
    /// closed, so that the server doesn't seem to answer each time it gets a new connection.
    std::optional<TimePoint> unansweredSince_;
    TimePoint lastReplyAt_ = TimePoint{};
    std::optional<TimePoint> failingSince_; ///< First connection failure after the last reply.
};

} // namespace shallotwalk
