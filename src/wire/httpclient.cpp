#include "wire/httpclient.h"

#include "wire/httpbytes.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <boost/none.hpp>

#include <array>
#include <charconv>

namespace shallotwalk {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t readSize = 16384;
constexpr unsigned statusOk = 200;

Failure protocolFailure(std::string message)
{
    return {ErrorCode::ConnectionLost, Verdict::MayHaveRun, std::move(message)};
}

std::string encodeRequest(const HttpEndpoint &endpoint, std::string_view method,
                          std::string_view target, std::string_view body,
                          std::span<const HttpHeader> headers)
{
    http::request<http::string_body> request;
    request.method_string({method.data(), method.size()});
    request.target({target.data(), target.size()});
    request.set(http::field::host, toString(endpoint));
    for (const auto &[name, value] : headers)
        request.insert(name, value);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    return httpBytes(request);
}

} // namespace

std::optional<HttpEndpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    HttpEndpoint endpoint{std::string(host), 0};
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (host.empty() || parsed.ec != std::errc{} || parsed.ptr != end || endpoint.port == 0)
        return std::nullopt;
    return endpoint;
}

std::string toString(const HttpEndpoint &endpoint)
{
    const bool bracketed = endpoint.host.find(':') != std::string::npos;
    return (bracketed ? "[" + endpoint.host + "]" : endpoint.host) + ":"
           + std::to_string(endpoint.port);
}

/// State of the answer that is being read.
struct HttpClient::Parser
{
    http::response_parser<http::string_body> response;
};

HttpClient::HttpClient(HttpEndpoint endpoint, std::size_t bodyLimit)
    : endpoint_(std::move(endpoint))
    , bodyLimit_(bodyLimit)
{
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient &&) noexcept = default;
HttpClient &HttpClient::operator=(HttpClient &&) noexcept = default;

Result<HttpResponse> HttpClient::request(std::string_view method, std::string_view target,
                                         std::string_view body, TimePoint connectDeadline,
                                         TimePoint deadline, std::span<const HttpHeader> headers)
{
    BOOST_LEAF_CHECK(send(method, target, body, connectDeadline, deadline, headers));
    parser_->response.body_limit(bodyLimit_);
    while (!parser_->response.is_done()) {
        BOOST_LEAF_CHECK(readMore(deadline));
    }
    HttpResponse response;
    response.status = parser_->response.get().result_int();
    response.body = std::move(parser_->response.get().body());
    for (const auto &field : parser_->response.get())
        response.headers.emplace_back(field.name_string(), field.value());
    const bool keepAlive = parser_->response.get().keep_alive();
    parser_.reset();
    if (!keepAlive)
        close();
    return response;
}

Result<void> HttpClient::openStream(std::string_view target, std::string_view body,
                                    TimePoint deadline)
{
    BOOST_LEAF_CHECK(send("POST", target, body, deadline, deadline, {}));
    parser_->response.body_limit(boost::none);
    while (!parser_->response.is_header_done()) {
        BOOST_LEAF_CHECK(readMore(deadline));
    }
    const auto status = parser_->response.get().result_int();
    if (status != statusOk) {
        close();
        return boost::leaf::new_error(
            protocolFailure("HTTP status " + std::to_string(status) + " instead of a stream"));
    }
    return {};
}

Result<std::string> HttpClient::readChunk(TimePoint deadline)
{
    auto &body = parser_->response.get().body();
    while (body.empty()) {
        if (parser_->response.is_done()) {
            close();
            return boost::leaf::new_error(protocolFailure("end of the stream"));
        }
        if (!stream_.waitReadable(deadline))
            return std::string();
        BOOST_LEAF_CHECK(readMore(deadline));
    }
    return std::exchange(body, {});
}

void HttpClient::close()
{
    stream_.close();
    parser_.reset();
    buffer_.clear();
}

Result<void> HttpClient::send(std::string_view method, std::string_view target,
                              std::string_view body, TimePoint connectDeadline, TimePoint deadline,
                              std::span<const HttpHeader> headers)
{
    // An open parser belongs to an answer that was not read to its end.
    if (parser_ || (stream_.isOpen() && stream_.isStale()))
        close();
    if (!stream_.isOpen()) {
        BOOST_LEAF_ASSIGN(stream_, TcpStream::connect(endpoint_.host, endpoint_.port,
                                                      std::min(connectDeadline, deadline)));
    }
    auto written =
        stream_.writeAll(encodeRequest(endpoint_, method, target, body, headers), deadline);
    if (!written) {
        close();
        return written;
    }
    parser_ = std::make_unique<Parser>();
    parser_->response.eager(true);
    return {};
}

Result<void> HttpClient::readMore(TimePoint deadline)
{
    std::array<char, readSize> bytes; // NOLINT: filled by readSome
    auto read = stream_.readSome(bytes, deadline);
    if (!read) {
        close();
        return read.error();
    }
    boost::system::error_code error;
    if (read.value() == 0) {
        if (parser_->response.got_some())
            parser_->response.put_eof(error);
        if (error || !parser_->response.is_done()) {
            close();
            return boost::leaf::new_error(protocolFailure("connection closed by the server"));
        }
        return {};
    }
    buffer_.append(bytes.data(), read.value());
    while (!buffer_.empty() && !parser_->response.is_done()) {
        const auto used = parser_->response.put(boost::asio::buffer(buffer_), error);
        buffer_.erase(0, used);
        if (error == http::error::need_more || (!error && used == 0))
            break;
        if (error) {
            close();
            return boost::leaf::new_error(protocolFailure("HTTP: " + error.message()));
        }
    }
    return {};
}

} // namespace shallotwalk
