#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotwalk {

/// A received HTTP request, independent of the parser that produced it.
struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool keepAlive = true;

    /// Value of the first header named \a name, ignoring case. The view lives as long as the
    /// request.
    std::optional<std::string_view> header(std::string_view name) const;
};

/// An HTTP response to send, or as received.
struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool keepAlive = true;

    /// Value of the first header named \a name, ignoring case. The view lives as long as the
    /// response.
    std::optional<std::string_view> header(std::string_view name) const;
};

/// The bytes of \a response, with Content-Length and Connection headers. Thread-safe.
std::string serialize(const HttpResponse &response);

/// The non-empty segments of a target's path, without its query. The views refer to \a target.
std::vector<std::string_view> pathSegments(std::string_view target);

} // namespace shallotwalk
