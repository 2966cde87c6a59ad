#pragma once

#include "gateway/messages.h"
#include "httpserver/httpserver.h"

#include <string>
#include <vector>

namespace shallotwalk {

/// Answers questions over HTTP: whether clients may come, metrics, and the state of all actors.
/// Immutable and thread-safe.
class GatewayService : public HttpService
{
public:
    /// What may be asked. An empty path can't be asked for.
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
