#pragma once

#include "wire/httpmessage.h"
#include "wire/tcpstream.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace shallotwalk {

/// Address of an HTTP server.
struct HttpEndpoint
{
    std::string host; ///< IP number.
    std::uint16_t port = 0;
};

/// Parses "<IPv4 number>:<port>" or "[<IPv6 number>]:<port>"; empty if it is neither. Thread-safe.
std::optional<HttpEndpoint> parseEndpoint(std::string_view text);

/// Inverse of parseEndpoint(). Thread-safe.
std::string toString(const HttpEndpoint &endpoint);

/// A header field of a request: name and value.
using HttpHeader = std::pair<std::string, std::string>;

/// Sends HTTP/1.1 requests to one server over a kept-alive connection, one at a time. It never
/// repeats a request. After any failure the connection is closed, so that a late answer can't be
/// taken for that of a later request. Failures carry "did not run" only if no byte was sent.
/// Calls block until their deadline (CLOCK_BOOTTIME). Not thread-safe.
class HttpClient
{
public:
    /// \a bodyLimit is the longest accepted body, or chunk of a stream, in bytes.
    HttpClient(HttpEndpoint endpoint, std::size_t bodyLimit);
    ~HttpClient();
    HttpClient(HttpClient &&) noexcept;
    HttpClient &operator=(HttpClient &&) noexcept;

    /// Sends a request and reads the whole answer with its header fields, whatever its status.
    /// Connecting may take until
    /// \a connectDeadline. \a body is sent as JSON unless it is empty. Ends an open stream.
    Result<HttpResponse> request(std::string_view method, std::string_view target,
                                 std::string_view body, TimePoint connectDeadline,
                                 TimePoint deadline, std::span<const HttpHeader> headers = {});

    /// Sends a POST request and reads the header of an answer whose body has no known end. Fails
    /// unless the status is 200. The body is then read with readChunk().
    Result<void> openStream(std::string_view target, std::string_view body, TimePoint deadline);

    /// Reads the next bytes of the open stream. Returns an empty string when none have arrived by
    /// the deadline; the end of the stream is a failure.
    /// \pre openStream() has succeeded and no call has failed since.
    Result<std::string> readChunk(TimePoint deadline);

    /// The socket, for poll; -1 if there is no connection.
    int nativeHandle() const { return stream_.nativeHandle(); }

    const HttpEndpoint &endpoint() const { return endpoint_; }

    void close();

private:
    struct Parser;

    Result<void> send(std::string_view method, std::string_view target, std::string_view body,
                      TimePoint connectDeadline, TimePoint deadline,
                      std::span<const HttpHeader> headers);
    Result<void> readHeader(TimePoint deadline);
    Result<void> readMore(TimePoint deadline);

    HttpEndpoint endpoint_;
    std::size_t bodyLimit_;
    TcpStream stream_;
    std::string buffer_; ///< Received bytes that the parser hasn't consumed.
    std::unique_ptr<Parser> parser_;
};

} // namespace shallotwalk
