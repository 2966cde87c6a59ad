#pragma once

#include "wire/httpmessage.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace shallotwalk {

/// Bounds on a received HTTP request, in bytes.
struct HttpLimits
{
    std::size_t header = 16 * 1024;
    std::size_t body = 1024 * 1024;
};

/// Cuts a byte stream into HTTP requests. Holds no parser while no request has begun, so that an
/// idle connection stays small. Not thread-safe.
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const HttpLimits &limits = {});
    ~HttpRequestParser();
    HttpRequestParser(HttpRequestParser &&) noexcept;
    HttpRequestParser &operator=(HttpRequestParser &&) noexcept;

    /// Appends received bytes.
    void append(std::span<const char> bytes);

    /// The next complete request; empty while it is incomplete or after an error.
    std::optional<HttpRequest> next();

    /// The response to a malformed or over-long request; the connection must be closed after it.
    const std::optional<HttpResponse> &error() const { return error_; }

    /// True once for a request whose sender waits for "100 Continue" before it sends the body.
    bool takeContinue();

    /// Bytes received but not yet returned as a request.
    std::size_t buffered() const { return pending_.size(); }

    /// True if part of a request has arrived.
    bool inRequest() const { return parser_ != nullptr || !pending_.empty(); }

private:
    struct Parser;

    void fail(unsigned status, std::string_view message);

    HttpLimits limits_;
    std::string pending_;
    std::unique_ptr<Parser> parser_;
    std::optional<HttpResponse> error_;
    bool continued_ = false; ///< takeContinue() was true for the present request.
};

} // namespace shallotwalk
