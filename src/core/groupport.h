#pragma once

#include "core/connectionbudget.h"
#include "core/grouprequest.h"
#include "core/serverregistration.h"

#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Identifies a connection to a backend server by the server's number in its group and the
/// connection's number among those to that server.
struct ServerConnectionKey
{
    std::uint32_t server = 0;
    ConnectionId connection = 0;

    auto operator<=>(const ServerConnectionKey &) const = default;
};

/// A decision to replace the primary of a group.
struct PromotionChoice
{
    std::string service;
    std::string server;  ///< Becomes the primary.
    Position position;   ///< End of the server's log, as last reported.
    std::string reason;  ///< Why the primary is replaced, for logs.
    Term endedTerm = 0;  ///< See PromotionRecord::endedTerm.
    Position floor = {}; ///< See PromotionRecord::floor.

    bool operator==(const PromotionChoice &) const = default;
};

/// Operations that a GroupScheduler requests. Implementations must not call back into the scheduler
/// until the scheduler's call to them has returned.
class GroupPort
{
public:
    virtual ~GroupPort() = default;

    /// Opens a connection for the statements of \a team; empty: of callers without a team, and
    /// of this proxy. The outcome is reported with GroupScheduler::replied() or
    /// connectionLost().
    virtual void openConnection(ServerConnectionKey key, const ServerRegistration &server,
                                std::string_view team) = 0;

    /// Sends \a commands in order. \pre The connection was reported open and has not been closed.
    virtual void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) = 0;

    /// Closes a connection. This is not reported to the scheduler.
    virtual void closeConnection(ServerConnectionKey key) = 0;

    /// Delivers the outcome of \a request. Called exactly once for each request.
    virtual void answer(const GroupRequest &request, GroupAnswer answer) = 0;

    /// Reports, for logs, that \a request is retried because \a server answered with \a code, or
    /// did not answer if \a code is empty.
    virtual void requestRetried(const GroupRequest &request, std::string_view server,
                                std::optional<AnswerCode> code) = 0;

    /// Reports, for logs, that \a request was found unanswered after its deadline. It is answered
    /// next.
    virtual void requestStranded(const GroupRequest &request) = 0;

    /// Reports, for logs, that \a server refused a connection with \a code. The next attempt
    /// follows after \a retryDelay, if there is still need of it.
    virtual void connectionRefused(std::string_view server, AnswerCode code,
                                   Duration retryDelay) = 0;

    /// Passes on to the other proxies that the primary's log ended at \a position when it answered
    /// a command sent at \a sentAt, and that a commit at \a acknowledged or beyond has been
    /// acknowledged; Position() if none is known.
    virtual void shareWatermark(Position position, TimePoint sentAt, Position acknowledged) = 0;

    /// Tells the other proxies whether this proxy suspects the primary, \a server, of being unable
    /// to serve. An empty \a server stands for a group without a known primary.
    virtual void reportSuspicion(std::string_view server, bool suspected) = 0;

    /// Reports, for logs, that \a server, the primary, has answered a demotion. Its log ended at
    /// \a position; unless it was \a demoted, it still is the primary.
    virtual void primaryDemoted(std::string_view server, bool demoted, Position position) = 0;

    /// Requests a promotion. The outcome is reported with GroupScheduler::promotionSeen() or
    /// promotionFailed().
    virtual void orderPromotion(const PromotionChoice &choice) = 0;
};

} // namespace shallotwalk
