#pragma once

#include "httpserver/httpconnection.h"

#include <set>
#include <string>

namespace shallotwalk {

/// Where a listener accepts connections, and how many.
struct ListenerSettings
{
    std::string name; ///< For logs, for example "callers".
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    std::size_t connectionLimit = 10000;
};

/// State of the broker that accepts connections and spawns an HttpConnection for each. Connections
/// over the limit are closed at once.
class HttpListener
{
public:
    using Broker = caf::stateful_actor<HttpListener, MailboxClosingBroker>;

    explicit HttpListener(Broker *self)
        : self_(self)
    {
    }

    /// Behaviour of the broker. It quits with an error if the address can't be bound.
    static caf::behavior run(Broker *self, ListenerSettings settings,
                             std::shared_ptr<const HttpConnectionContext> context);

    static inline const char *name = "http-listener";

private:
    caf::behavior start(ListenerSettings settings,
                        std::shared_ptr<const HttpConnectionContext> context);
    void accept(const caf::io::connection_handle &handle);
    void acceptWaiting();
    void handleDown(const caf::down_msg &message);
    void announceClose();
    void drain();
    void quitIfDrained();
    MetricsText metrics() const;

    Broker *self_;
    ListenerSettings settings_;
    std::shared_ptr<const HttpConnectionContext> context_;
    caf::io::accept_handle doorman_;
    std::uint16_t port_ = 0; ///< The bound port.
    std::set<caf::actor> connections_;
    std::uint64_t refused_ = 0;
    bool closing_ = false;
    bool draining_ = false;
};

} // namespace shallotwalk
