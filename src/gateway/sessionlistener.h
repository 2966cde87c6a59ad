#pragma once

#include "gateway/sessionactor.h"

#include <set>
#include <string>

namespace shallotwalk {

/// Where clients open their sessions, and how many.
struct SessionListenerSettings
{
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    std::size_t sessionLimit = 5000;
    /// Closing all idle sessions at once would bring their clients to the other proxies at once.
    Duration closingSpread{std::chrono::milliseconds(800)};
};

/// State of the broker that accepts clients and spawns a SessionActor for each. Clients over the
/// limit are closed at once.
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

    /// Ends the sessions.
    ~SessionListener();

    /// \a groups is asked for a RoutingChanged, \a node gets SessionsClosed.
    static caf::behavior run(Broker *self, SessionListenerSettings settings,
                             std::shared_ptr<const SessionContext> context, caf::actor groups,
                             caf::actor node);

    static inline const char *name = "session-listener";

private:
    caf::behavior start(SessionListenerSettings settings,
                        std::shared_ptr<const SessionContext> context, const caf::actor &groups,
                        caf::actor node);
    void accept(const caf::io::connection_handle &handle);
    void closeIdle();
    void closeAll();
    void reportIfClosed();

    Broker *self_;
    SessionListenerSettings settings_;
    std::shared_ptr<const SessionContext> context_;
    caf::actor node_;
    std::shared_ptr<const SessionRouting> routing_ = std::make_shared<SessionRouting>();
    std::set<caf::actor> sessions_;
    std::uint64_t accepted_ = 0;
    std::uint64_t refused_ = 0;
    bool closing_ = false;
};

} // namespace shallotwalk
