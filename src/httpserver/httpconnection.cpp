#include "httpserver/httpconnection.h"

#include <sys/socket.h>

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr std::size_t readSize = 4096;
// CAF reads bytes that have arrived within its next pass over the sockets.
constexpr Duration unreadBytesDelay = std::chrono::milliseconds(10);
// Bytes of pipelined requests that may wait while one is being served.
constexpr std::size_t pipelineLimit = 65536;

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

using CheckIdle = caf::atom_constant<caf::atom("chk_idle")>;
using CheckSlowSender = caf::atom_constant<caf::atom("chk_slow")>;
using CheckSlowReceiver = caf::atom_constant<caf::atom("chk_recv")>;

std::string requestId(const caf::io::connection_handle &connection, std::uint64_t number)
{
    return std::to_string(connection.id()) + "-" + std::to_string(number);
}

} // namespace

caf::behavior HttpConnection::run(Broker *self, caf::io::connection_handle connection,
                                  std::shared_ptr<const HttpConnectionContext> context)
{
    return self->state.start(connection, std::move(context));
}

caf::behavior HttpConnection::start(caf::io::connection_handle connection,
                                    std::shared_ptr<const HttpConnectionContext> context)
{
    connection_ = connection;
    context_ = std::move(context);
    parser_ = HttpRequestParser(context_->limits);
    lastActivity_ = context_->clock->now();
    self_->configure_read(connection_, caf::io::receive_policy::at_most(readSize));
    self_->ack_writes(connection_, true);
    self_->delayed_send(self_, context_->idleLimit, CheckIdle::value);
    return {
        [this](const caf::io::new_data_msg &message) { handleData(message); },
        [this](const caf::io::data_transferred_msg &message) { handleTransferred(message); },
        [this](const caf::io::connection_closed_msg &) { self_->quit(); },
        [this](CheckIdle) { checkIdle(); },
        [this](CheckSlowSender) { checkSlowSender(); },
        [this](CheckSlowReceiver) { checkSlowReceiver(); },
        [this](AnnounceClose) { closing_ = true; },
        [this](DrainRequest) { beginDrain(); },
        [this](StateDumpRequest) { return dump(); },
    };
}

void HttpConnection::handleData(const caf::io::new_data_msg &message)
{
    if (!busy_ && !parser_.inRequest())
        lastActivity_ = context_->clock->now();
    parser_.append(std::span(message.buf.data(), message.buf.size()));
    if (busy_ && parser_.buffered() > pipelineLimit) {
        close();
        return;
    }
    serveNext();
}

void HttpConnection::startTimers()
{
    if (sending_ && !slowReceiverTimer_) {
        slowReceiverTimer_ = true;
        self_->delayed_send(self_, context_->slowReceiverLimit, CheckSlowReceiver::value);
    }
    if (!busy_ && parser_.inRequest() && !slowSenderTimer_) {
        slowSenderTimer_ = true;
        self_->delayed_send(self_, context_->slowSenderLimit, CheckSlowSender::value);
    }
}

void HttpConnection::serveNext()
{
    if (busy_)
        return;
    if (const auto http = parser_.next()) {
        lastActivity_ = context_->clock->now();
        serve(*http);
    } else if (parser_.error()) {
        keepAlive_ = false;
        headOnly_ = false;
        respond(*parser_.error());
    } else if (parser_.takeContinue()) {
        self_->write(connection_, continueResponse.size(), continueResponse.data());
        self_->flush(connection_);
    }
    startTimers();
}

void HttpConnection::serve(const HttpRequest &http)
{
    busy_ = true;
    keepAlive_ = http.keepAlive;
    headOnly_ = http.method == "HEAD";
    ++requests_;
    context_->service->serve(http, requestId(connection_, requests_), *self_,
                             [this](HttpResponse response) { respond(std::move(response)); });
}

void HttpConnection::respond(HttpResponse response)
{
    response.keepAlive = response.keepAlive && keepAlive_ && !closing_;
    keepAlive_ = response.keepAlive;
    auto bytes = serialize(response);
    if (headOnly_)
        bytes.resize(bytes.size() - response.body.size());
    busy_ = true;
    sending_ = true;
    lastActivity_ = context_->clock->now();
    self_->write(connection_, bytes.size(), bytes.data());
    self_->flush(connection_);
    startTimers();
}

void HttpConnection::handleTransferred(const caf::io::data_transferred_msg &message)
{
    if (!sending_ || message.remaining > 0)
        return;
    sending_ = false;
    busy_ = false;
    lastActivity_ = context_->clock->now();
    if (!keepAlive_)
        close();
    else
        serveNext();
}

void HttpConnection::checkSlowReceiver()
{
    slowReceiverTimer_ = false;
    if (!sending_)
        return;
    const auto waited = context_->clock->now() - lastActivity_;
    if (waited >= context_->slowReceiverLimit) {
        close();
        return;
    }
    slowReceiverTimer_ = true;
    self_->delayed_send(self_, context_->slowReceiverLimit - waited, CheckSlowReceiver::value);
}

void HttpConnection::beginDrain()
{
    closing_ = true;
    draining_ = true;
    // The caller doesn't know of the drain yet, so its next request may be in transit.
    if (!busy_ && !parser_.inRequest())
        lastActivity_ = context_->clock->now();
    self_->delayed_send(self_, context_->drainIdleLimit, CheckIdle::value);
}

void HttpConnection::checkIdle()
{
    const auto limit = draining_ ? context_->drainIdleLimit : context_->idleLimit;
    const bool idle = !busy_ && !parser_.inRequest();
    const auto left = idle ? limit - (context_->clock->now() - lastActivity_) : limit;
    if (left <= Duration::zero() && !unreadBytesWait())
        close();
    else
        self_->delayed_send(self_, std::max(left, unreadBytesDelay), CheckIdle::value);
}

/// Whether the kernel holds bytes that CAF has not read yet.
bool HttpConnection::unreadBytesWait() const
{
    char byte = 0;
    return ::recv(static_cast<int>(connection_.id()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpConnection::checkSlowSender()
{
    slowSenderTimer_ = false;
    if (busy_ || !parser_.inRequest())
        return;
    const auto quiet = context_->clock->now() - lastActivity_;
    if (quiet >= context_->slowSenderLimit) {
        close();
        return;
    }
    slowSenderTimer_ = true;
    self_->delayed_send(self_, context_->slowSenderLimit - quiet, CheckSlowSender::value);
}

void HttpConnection::close()
{
    // CAF would keep the rest of a response until the caller reads it. In CAF the handle's id is
    // the descriptor, which stays open while the broker owns the scribe.
    if (sending_)
        ::shutdown(static_cast<int>(connection_.id()), SHUT_RDWR);
    self_->close(connection_);
    self_->quit();
}

StateDump HttpConnection::dump() const
{
    return {boost::json::object{
        {"requests", requests_}, {"busy", busy_}, {"buffered", parser_.buffered()}}};
}

} // namespace shallotwalk
