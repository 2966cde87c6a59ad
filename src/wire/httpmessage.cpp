#include "wire/httpmessage.h"

#include "wire/httpbytes.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <span>

namespace shallotwalk {

namespace http = boost::beast::http;

namespace {

std::optional<std::string_view>
findHeader(std::span<const std::pair<std::string, std::string>> headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(boost::beast::string_view(key.data(), key.size()),
                                  boost::beast::string_view(name.data(), name.size())))
            return std::string_view(value);
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string_view> HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::optional<std::string_view> HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string serialize(const HttpResponse &response)
{
    constexpr unsigned http11 = 11;
    http::response<http::string_body> message(http::int_to_status(response.status), http11);
    message.result(response.status);
    message.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers)
        message.insert(name, value);
    message.keep_alive(response.keepAlive);
    message.body() = response.body;
    message.prepare_payload();
    return httpBytes(message);
}

std::vector<std::string_view> pathSegments(std::string_view target)
{
    std::vector<std::string_view> segments;
    target = target.substr(0, target.find('?'));
    while (!target.empty()) {
        const auto end = target.find('/');
        if (end != 0)
            segments.push_back(target.substr(0, end));
        if (end == std::string_view::npos)
            break;
        target.remove_prefix(end + 1);
    }
    return segments;
}

} // namespace shallotwalk
