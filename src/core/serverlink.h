#pragma once

#include "core/admissionpolicy.h"
#include "core/connectionbudget.h"
#include "core/connectioncontent.h"
#include "core/grouprequest.h"
#include "core/responseestimate.h"
#include "core/serverregistration.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shallotwalk {

/// Which command of a connection the next reply belongs to.
enum class ExpectedReply {
    Opening,
    Preparation, ///< Session values and prepared statements.
    Begin,
    Statement,
    End, ///< Rollback by the proxy itself.
    Probe,
    Report,
};

/// A connection of a ServerLink.
struct ServerConnection
{
    struct Outstanding
    {
        ExpectedReply kind = ExpectedReply::Opening;
        TimePoint sentAt;
    };

    bool open = false;
    std::deque<Outstanding> outstanding; ///< In the order of the replies.
    ConnectionContent content;
    std::optional<RequestNumber> request; ///< Whose statement runs.
    std::optional<SessionNumber> session; ///< Whose transaction is open on it.
    /// To be sent when the outstanding begin has succeeded. After a failed one a server runs what
    /// follows outside of any transaction.
    std::vector<ServerCommand> afterBegin;
    bool guarded = false; ///< The statement runs in a transaction that only a leader accepts.
    TimePoint lastUsed;

    /// Whether a request or a question may use it now.
    bool idle() const { return open && outstanding.empty() && !session && !request; }
};

/// Everything known of one backend server of a group, with its connections and the requests that
/// wait for one of them. Not thread-safe.
class ServerLink
{
public:
    ServerLink(ServerRegistration entry, std::unique_ptr<AdmissionPolicy> queue,
               std::size_t connectionLimit);

    ServerRegistration registration;
    bool registered = true; ///< Still in the list of servers.
    bool primary = false;
    Term term = 0;
    Position position;        ///< Last seen end of its log, as far as reads see it.
    Position received;        ///< As last reported; may be ahead of \c position.
    Term pausedUntilTerm = 0; ///< As last reported; see ServerReport.
    std::optional<TimePoint> leavingSince;
    TimePoint reportedAt = TimePoint{};
    TimePoint reportAskedAt = TimePoint{};
    TimePoint laggingUntil = TimePoint{};      ///< Not chosen for reads before.
    TimePoint burstRefusedUntil = TimePoint{}; ///< It had no connections left beyond the shares.

    ConnectionBudget budget;
    std::map<ConnectionId, ServerConnection> connections;
    std::unique_ptr<AdmissionPolicy> policy;
    ResponseEstimate response;

    /// Notes that an answer is due from now on.
    void asked(TimePoint now);

    /// Notes that a reply has come, which is no longer among the outstanding ones.
    void heard(TimePoint now);

    /// Notes that a connection couldn't be opened, or was closed by the server.
    void failed(TimePoint now);

    /// A pause of this process must not be taken for silence of the server.
    void forgive(TimePoint now);

    /// Time for which the server has owed an answer without sending anything.
    Duration silence(TimePoint now) const;

    /// Time since the first of the failures after which no connection was open; 0 if one is.
    Duration refusedFor(TimePoint now) const;

    TimePoint lastHeard() const { return lastHeard_; }

    /// Whether any reply is due on the present connections.
    bool replyDue() const;

    std::size_t openConnections() const;

    /// Connections for requests, without those that hold an open transaction.
    Capacity capacity() const;

private:
    /// Kept when the connection of the question is given up, so that a server doesn't seem to
    /// answer each time it gets a new connection.
    std::optional<TimePoint> unansweredSince_;
    TimePoint lastHeard_ = TimePoint{};
    std::optional<TimePoint> failingSince_;
};

} // namespace shallotwalk
