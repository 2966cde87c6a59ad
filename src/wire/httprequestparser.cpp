#include "wire/httprequestparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace shallotwalk {

namespace http = boost::beast::http;

struct HttpRequestParser::Parser
{
    explicit Parser(const HttpLimits &limits)
    {
        parser.header_limit(static_cast<std::uint32_t>(limits.header));
        parser.body_limit(limits.body);
        parser.eager(true);
    }

    http::request_parser<http::string_body> parser;
};

namespace {

std::string toStdString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = toStdString(message.method_string());
    request.target = toStdString(message.target());
    request.keepAlive = message.keep_alive();
    for (const auto &field : message)
        request.headers.emplace_back(toStdString(field.name_string()), toStdString(field.value()));
    request.body = std::move(message.body());
    return request;
}

} // namespace

HttpRequestParser::HttpRequestParser(const HttpLimits &limits)
    : limits_(limits)
{
}

HttpRequestParser::~HttpRequestParser() = default;
HttpRequestParser::HttpRequestParser(HttpRequestParser &&) noexcept = default;
HttpRequestParser &HttpRequestParser::operator=(HttpRequestParser &&) noexcept = default;

void HttpRequestParser::append(std::span<const char> bytes)
{
    pending_.append(bytes.data(), bytes.size());
}

std::optional<HttpRequest> HttpRequestParser::next()
{
    while (!pending_.empty() && !error_) {
        if (!parser_)
            parser_ = std::make_unique<Parser>(limits_);
        auto &parser = parser_->parser;
        boost::beast::error_code code;
        const auto used = parser.put(boost::asio::buffer(pending_), code);
        pending_.erase(0, used);
        if (code == http::error::header_limit) {
            fail(431, "the header is longer than " + std::to_string(limits_.header) + " bytes");
        } else if (code == http::error::body_limit) {
            fail(413, "the body is longer than " + std::to_string(limits_.body) + " bytes");
        } else if (code && code != http::error::need_more) {
            fail(400, "malformed HTTP request: " + code.message());
        } else if (parser.is_done()) {
            auto request = toRequest(parser.release());
            parser_.reset();
            continued_ = false;
            if (pending_.empty())
                pending_.shrink_to_fit();
            return request;
        } else if (code == http::error::need_more || used == 0) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

bool HttpRequestParser::takeContinue()
{
    if (!parser_ || continued_ || !parser_->parser.is_header_done())
        return false;
    const auto expect = parser_->parser.get()[http::field::expect];
    continued_ = boost::beast::iequals(expect, "100-continue");
    return continued_;
}

void HttpRequestParser::fail(unsigned status, std::string_view message)
{
    HttpResponse response;
    response.status = status;
    response.keepAlive = false;
    response.body = boost::json::serialize(boost::json::object{
        {"error", "bad_request"}, {"verdict", "did_not_run"}, {"message", message}});
    error_ = std::move(response);
    pending_.clear();
    parser_.reset();
}

} // namespace shallotwalk
