#pragma once

#include "wire/wire.h"

#include <caf/io/broker.hpp>

#include <functional>

namespace shallotwalk {

/// Serves the requests of HTTP connections. One object serves all connections of a listener, so
/// implementations are immutable and thread-safe.
class HttpService
{
public:
    using Respond = std::function<void(HttpResponse)>;

    virtual ~HttpService() = default;

    /// Serves \a request of the connection that \a connection owns. \a respond must be called once,
    /// on the connection's thread: at once, or in a response handler of \a connection.
    /// \a requestId is unique among the connection's requests.
    virtual void serve(const HttpRequest &request, std::string_view requestId,
                       caf::io::broker &connection, Respond respond) const = 0;
};

} // namespace shallotwalk
