#pragma once

#include "gateway/messages.h"
#include "httpserver/httpserver.h"

#include <string>
#include <vector>

namespace shallotwalk {

/// HTTP service for the readiness of this proxy, its metrics, and a state dump of all actors.
/// Immutable and thread-safe.
class GatewayService : public HttpService
{
public:
    /// Paths of the resources. A resource with an empty path is not served.
    struct Paths
    {
        std::string readiness;
        std::string metrics;
        std::string state;
    };

    GatewayService(Paths paths, caf::actor node, caf::actor root,
                   std::vector<caf::actor> metricSources);

    void serve(const HttpRequest &request, std::string_view requestId, caf::io::broker &connection,
               Respond respond) const override;

private:
    Paths paths_;
    caf::actor node_;
    caf::actor root_;
    std::vector<caf::actor> metricSources_;
};

} // namespace shallotwalk
