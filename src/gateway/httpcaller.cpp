#include "gateway/httpcaller.h"

#include "wire/socketconnect.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <spdlog/spdlog.h>

#include <cstring>

namespace shallotwalk {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t readSize = 65536;
/// Time of unacknowledged data after which the kernel closes the connection.
constexpr int tcpUserTimeoutMs = 3000;
/// Longest pause within an answer. Longer than a round trip and a retransmission.
constexpr Duration stallLimit = std::chrono::milliseconds(1000);
/// Largest body of an answer, in bytes. A listing of the store takes about 1 MB.
constexpr std::uint64_t bodyLimit = std::uint64_t{16} * 1024 * 1024;

struct CallTimeout
{
    std::uint64_t number = 0;
};

std::string encode(const HttpCall &call, const HttpEndpoint &endpoint)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + toString(endpoint)
                       + "\r\nConnection: keep-alive\r\n";
    for (const auto &[name, value] : call.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!call.body.empty())
        text += "Content-Type: " + call.contentType + "\r\n";
    if (!call.body.empty() || call.method == "POST")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CallTimeout)

namespace shallotwalk {

struct HttpCaller::Parser
{
    http::response_parser<http::string_body> parser;
    std::string buffer; ///< Received bytes that have not been parsed yet.
};

caf::behavior HttpCaller::run(Broker *self, HttpEndpoint endpoint,
                              std::shared_ptr<const Clock> clock)
{
    return self->state.start(std::move(endpoint), std::move(clock));
}

caf::behavior HttpCaller::start(HttpEndpoint endpoint, std::shared_ptr<const Clock> clock)
{
    endpoint_ = std::move(endpoint);
    clock_ = std::move(clock);
    return {
        [this](HttpCallRequest &request) { return enqueue(request.call); },
        [this](const caf::io::new_data_msg &message) { handleData(message); },
        [this](const caf::io::connection_closed_msg &message) {
            if (!connection_ || *connection_ != message.handle)
                return;
            connection_.reset();
            if (parser_)
                fail("the connection was closed");
        },
        [this](const CallTimeout &message) { checkTimeout(message.number); },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) {
            return StateDump{boost::json::object{{"endpoint", toString(endpoint_)},
                                                 {"connected", connection_.has_value()},
                                                 {"calls", lastCallNumber_},
                                                 {"failures", failures_},
                                                 {"waiting", calls_.size()}}};
        },
    };
}

caf::result<HttpCallResult> HttpCaller::enqueue(HttpCall &call)
{
    auto promise = self_->make_response_promise<HttpCallResult>();
    const auto timeout = call.timeout;
    calls_.push_back({std::move(call), promise, clock_->now() + timeout, ++lastCallNumber_});
    self_->delayed_send(self_, timeout, CallTimeout{lastCallNumber_});
    if (!parser_)
        sendNext();
    return promise;
}

void HttpCaller::sendNext()
{
    if (calls_.empty())
        return;
    parser_ = std::make_shared<Parser>();
    receivedAt_ = TimePoint{};
    parser_->parser.eager(true);
    parser_->parser.body_limit(bodyLimit);
    const auto &call = calls_.front().call;
    const auto endpoint = call.endpoint.value_or(endpoint_);
    if (connection_ && toString(endpoint) != toString(connectedTo_))
        closeConnection();
    if (!connection_ && !connect(endpoint)) {
        fail(std::strerror(errno)); // NOLINT: the text is copied at once.
        return;
    }
    const auto bytes = encode(call, endpoint);
    self_->write(*connection_, bytes.size(), bytes.data());
    self_->flush(*connection_);
}

bool HttpCaller::connect(const HttpEndpoint &endpoint)
{
    const int descriptor = openConnectingSocket(endpoint.host, endpoint.port, tcpUserTimeoutMs);
    if (descriptor < 0)
        return false;
    connectedTo_ = endpoint;
    connection_ = self_->add_scribe(descriptor);
    self_->configure_read(*connection_, caf::io::receive_policy::at_most(readSize));
    return true;
}

void HttpCaller::handleData(const caf::io::new_data_msg &message)
{
    if (!connection_ || *connection_ != message.handle)
        return;
    if (!parser_) {
        closeConnection(); // The server sent bytes without a call in progress.
        return;
    }
    receivedAt_ = clock_->now();
    auto &[parser, buffer] = *parser_;
    buffer.append(message.buf.data(), message.buf.size());
    boost::beast::error_code error;
    while (!parser.is_done() && !buffer.empty()) {
        const auto used = parser.put(boost::asio::buffer(buffer), error);
        buffer.erase(0, used);
        if (error == http::error::need_more)
            return;
        if (error) {
            fail("malformed response: " + error.message());
            return;
        }
    }
    if (!parser.is_done())
        return;
    HttpCallResult result;
    result.response.status = parser.get().result_int();
    for (const auto &field : parser.get())
        result.response.headers.emplace_back(field.name_string(), field.value());
    result.response.body = std::move(parser.get().body());
    const bool keepAlive = parser.get().keep_alive();
    parser_.reset();
    auto call = std::move(calls_.front());
    calls_.pop_front();
    if (!keepAlive)
        closeConnection();
    call.promise.deliver(std::move(result));
    sendNext();
}

void HttpCaller::checkTimeout(std::uint64_t number)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(),
                                    [number](const Call &call) { return call.number == number; });
    if (found == calls_.end())
        return;
    if (found == calls_.begin() && parser_) {
        if (isReceivingAnswer(*found)) {
            self_->delayed_send(self_, stallLimit, CallTimeout{number});
            return;
        }
        fail("no complete answer in time");
        return;
    }
    auto promise = found->promise;
    calls_.erase(found);
    promise.deliver(
        HttpCallResult{HttpResponse{0, {}, {}, {}, false}, "not sent before the timeout"});
}

bool HttpCaller::isReceivingAnswer(const Call &call) const
{
    const auto now = clock_->now();
    return now - receivedAt_ < stallLimit && now < call.deadline + transferLimit;
}

void HttpCaller::fail(std::string_view error)
{
    ++failures_;
    parser_.reset();
    closeConnection();
    auto call = std::move(calls_.front());
    calls_.pop_front();
    spdlog::debug("event=http_call_failed endpoint={} target={} error={}", toString(endpoint_),
                  logValue(call.call.target), logValue(error));
    call.promise.deliver(HttpCallResult{HttpResponse{0, {}, {}, {}, false}, std::string(error)});
    sendNext();
}

void HttpCaller::closeConnection()
{
    if (!connection_)
        return;
    self_->close(*connection_);
    connection_.reset();
}

} // namespace shallotwalk
