#pragma once

#include "httpserver/httpservice.h"
#include "httpserver/messages.h"
#include "supervision/mailboxclosingbroker.h"
#include "supervision/supervision.h"
#include "wire/wire.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>

namespace shallotwalk {

/// What all connections of a listener share. Immutable.
struct HttpConnectionContext
{
    std::shared_ptr<const HttpService> service;
    std::shared_ptr<const Clock> clock;
    HttpLimits limits;
    Duration slowSenderLimit{std::chrono::seconds(10)};   ///< For one whole request to arrive.
    Duration idleLimit{std::chrono::minutes(10)};         ///< Without a request.
    Duration drainIdleLimit{std::chrono::seconds(1)};     ///< The same during a drain.
    Duration slowReceiverLimit{std::chrono::seconds(10)}; ///< For one whole response to be sent.
};

/// State of the broker that owns one HTTP connection. It serves one request at a time and begins
/// the next one only when the response has been passed to the kernel, so that at most one response
/// is held for a caller that doesn't read. Further pipelined requests wait in its bounded buffer.
class HttpConnection
{
public:
    using Broker = caf::stateful_actor<HttpConnection, MailboxClosingBroker>;

    explicit HttpConnection(Broker *self)
        : self_(self)
    {
    }

    /// Behaviour of the broker that owns \a connection.
    static caf::behavior run(Broker *self, caf::io::connection_handle connection,
                             std::shared_ptr<const HttpConnectionContext> context);

    static inline const char *name = "http-connection";

private:
    caf::behavior start(caf::io::connection_handle connection,
                        std::shared_ptr<const HttpConnectionContext> context);
    void handleData(const caf::io::new_data_msg &message);
    void serveNext();
    void serve(const HttpRequest &http);
    void respond(HttpResponse response);
    void handleTransferred(const caf::io::data_transferred_msg &message);
    void beginDrain();
    void checkIdle();
    bool unreadBytesWait() const;
    void checkSlowSender();
    void checkSlowReceiver();
    void startTimers();
    void close();
    StateDump dump() const;

    Broker *self_;
    caf::io::connection_handle connection_;
    std::shared_ptr<const HttpConnectionContext> context_;
    HttpRequestParser parser_;
    /// Start of the present request or response, end of the last one, or start of the drain.
    TimePoint lastActivity_;
    bool busy_ = false;     ///< A request is being served or its response is being sent.
    bool sending_ = false;  ///< Part of a response has not been passed to the kernel.
    bool keepAlive_ = true; ///< Of the request being served.
    bool headOnly_ = false; ///< The request being served is a HEAD, answered without a body.
    bool closing_ = false;  ///< No request is taken after the present one.
    bool draining_ = false; ///< The connection closes after its next response or drainIdleLimit.
    bool slowSenderTimer_ = false;
    bool slowReceiverTimer_ = false;
    std::uint64_t requests_ = 0;
};

} // namespace shallotwalk
