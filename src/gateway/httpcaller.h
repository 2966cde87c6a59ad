#pragma once

#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace shallotwalk {

/// State of the broker that owns one connection to an HTTP server and carries out calls on it, one
/// after the other. It never repeats a call. After a call without an answer the connection is
/// closed, so that a late answer can't be mistaken for the answer to a later call. An answer that
/// has begun within the timeout may continue while bytes arrive: a large one on a slow link would
/// otherwise be aborted and requested again without end, and saturate the link.
class HttpCaller
{
public:
    using Broker = caf::stateful_actor<HttpCaller, MailboxClosingBroker>;

    explicit HttpCaller(Broker *self)
        : self_(self)
    {
    }

    /// Returns the behaviour of a broker that sends its calls to \a endpoint, except for those with
    /// an endpoint of their own.
    static caf::behavior run(Broker *self, HttpEndpoint endpoint,
                             std::shared_ptr<const Clock> clock);

    /// Time beyond the call's timeout that an answer may take if it has begun within the timeout.
    static constexpr Duration transferLimit = std::chrono::seconds(20);

    static inline const char *name = "http-caller";

private:
    struct Parser;
    struct Call
    {
        HttpCall call;
        caf::typed_response_promise<HttpCallResult> promise;
        TimePoint deadline;
        std::uint64_t number = 0;
    };

    caf::behavior start(HttpEndpoint endpoint, std::shared_ptr<const Clock> clock);
    caf::result<HttpCallResult> enqueue(HttpCall &call);
    void sendNext();
    bool connect(const HttpEndpoint &endpoint);
    void handleData(const caf::io::new_data_msg &message);
    void checkTimeout(std::uint64_t number);
    bool isReceivingAnswer(const Call &call) const;
    void fail(std::string_view error);
    void closeConnection();

    Broker *self_;
    HttpEndpoint endpoint_;
    std::shared_ptr<const Clock> clock_;
    std::optional<caf::io::connection_handle> connection_;
    HttpEndpoint connectedTo_;       ///< Where connection_ leads to.
    std::shared_ptr<Parser> parser_; ///< Parser for the answer to the call in progress.
    TimePoint receivedAt_;           ///< Time of the last bytes of the answer in progress.
    std::deque<Call> calls_;         ///< Call queue; the first is in progress if parser_ is set.
    std::uint64_t lastCallNumber_ = 0;
    std::uint64_t failures_ = 0;
};

} // namespace shallotwalk
