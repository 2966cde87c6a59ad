#pragma once

#include "gateway/sessionactor.h"

#include <set>
#include <string>

namespace shallotwalk {

/// Settings of a SessionListener.
struct SessionListenerSettings
{
    std::string host; ///< IP address to listen on.
    std::uint16_t port = 0;
    std::size_t sessionLimit = 5000;
    /// Period over which CloseIdleSessions is spread across the sessions. Without it, all their
    /// clients would reconnect to the other proxies at the same moment.
    Duration idleClosePeriod{std::chrono::milliseconds(800)};
};

/// State of the broker that accepts clients and spawns a SessionActor for each. Connections beyond
/// SessionListenerSettings::sessionLimit are closed at once.
class SessionListener
{
public:
    using Broker = caf::stateful_actor<SessionListener, MailboxClosingBroker>;

    explicit SessionListener(Broker *self)
        : self_(self)
    {
    }

    SessionListener(const SessionListener &) = delete;
    SessionListener &operator=(const SessionListener &) = delete;

    /// Stops the session actors.
    ~SessionListener();

    /// \a groups is asked for a RoutingChanged, \a node receives SessionsClosed.
    static caf::behavior run(Broker *self, SessionListenerSettings settings,
                             std::shared_ptr<const SessionContext> context, caf::actor groups,
                             caf::actor node);

    static inline const char *name = "session-listener";

private:
    caf::behavior start(SessionListenerSettings settings,
                        std::shared_ptr<const SessionContext> context, const caf::actor &groups,
                        caf::actor node);
    void accept(const caf::io::connection_handle &handle);
    void closeIdleSessions();
    void closeAllSessions();
    void reportIfAllClosed();

    Broker *self_;
    SessionListenerSettings settings_;
    std::shared_ptr<const SessionContext> context_;
    caf::actor node_;
    std::shared_ptr<const SessionRouting> routing_ = std::make_shared<SessionRouting>();
    std::set<caf::actor> sessions_;
    std::uint64_t accepted_ = 0;
    std::uint64_t refused_ = 0;
    bool closing_ = false; ///< CloseIdleSessions was received; new sessions close when idle too.
};

} // namespace shallotwalk
