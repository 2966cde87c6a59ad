#pragma once

#include "gateway/messages.h"
#include "httpserver/httpserver.h"

#include <string>
#include <vector>

namespace shallotwalk {

/// HTTP service for the readiness of this proxy, its metrics, a state dump of all actors, and
/// followers that ask for changes of the store. Immutable and thread-safe.
class GatewayService : public HttpService
{
public:
    /// Paths of the resources. A resource with an empty path is not served.
    struct Paths
    {
        std::string readiness;
        std::string metrics;
        std::string state;
        std::string feed;
    };

    /// \a feed is the FeedServer.
    GatewayService(Paths paths, caf::actor node, caf::actor root, caf::actor feed,
                   std::vector<caf::actor> metricSources);

    void serve(const HttpRequest &request, std::string_view requestId, caf::io::broker &connection,
               Respond respond) const override;

private:
    void serveFeed(const HttpRequest &request, caf::io::broker &connection, Respond respond) const;

    Paths paths_;
    caf::actor node_;
    caf::actor root_;
    caf::actor feed_;
    std::vector<caf::actor> metricSources_;
};

} // namespace shallotwalk
