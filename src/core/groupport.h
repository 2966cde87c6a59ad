#pragma once

#include "core/connectionbudget.h"
#include "core/grouprequest.h"
#include "core/serverregistration.h"

#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// A connection to a backend server: the server's number in its group, and the connection's number
/// at the server.
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
    std::string server; ///< Takes over.
    Position position;  ///< Its log, as last reported.
    std::string reason; ///< For logs.

    bool operator==(const PromotionChoice &) const = default;
};

/// What a GroupScheduler needs done. Implementations must not call back into the scheduler before
/// the call that made them has returned.
class GroupPort
{
public:
    virtual ~GroupPort() = default;

    /// Opens a connection. The outcome is reported with opened() or connectionLost().
    virtual void openConnection(ServerConnectionKey key, const ServerRegistration &server) = 0;

    /// Sends \a commands in order. \pre The connection was reported open and not closed since.
    virtual void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) = 0;

    /// Closes a connection without a report.
    virtual void closeConnection(ServerConnectionKey key) = 0;

    /// Delivers the outcome of \a request. Called exactly once for each request.
    virtual void answer(const GroupRequest &request, GroupAnswer answer) = 0;

    /// Reports, for logs, that \a request is sent once more because \a server answered with \a
    /// code, or not at all.
    virtual void requestRetried(const GroupRequest &request, std::string_view server,
                                std::optional<AnswerCode> code) = 0;

    /// Tells the other proxies that this one finds \a server, the primary, unable to serve, or that
    /// it doesn't any more. An empty \a server stands for a group without a known primary.
    virtual void reportSuspicion(std::string_view server, bool suspected) = 0;

    /// Asks for a promotion. What becomes of it is reported with promotionSeen() or
    /// promotionFailed().
    virtual void orderPromotion(const PromotionChoice &choice) = 0;
};

} // namespace shallotwalk
