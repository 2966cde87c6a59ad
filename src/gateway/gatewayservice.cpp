#include "gateway/gatewayservice.h"

#include <boost/json/serialize.hpp>

namespace shallotwalk {

namespace {

/// Time for an actor of this process to answer.
constexpr auto actorTimeout = std::chrono::milliseconds(900);

HttpResponse jsonResponse(unsigned status, const boost::json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.body = boost::json::serialize(body) + "\n";
    return response;
}

} // namespace

GatewayService::GatewayService(Paths paths, caf::actor node, caf::actor root,
                               std::vector<caf::actor> metricSources)
    : paths_(std::move(paths))
    , node_(std::move(node))
    , root_(std::move(root))
    , metricSources_(std::move(metricSources))
{
}

void GatewayService::serve(const HttpRequest &request, std::string_view,
                           caf::io::broker &connection, Respond respond) const
{
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto noAnswer = [respond](const caf::error &) {
        respond(jsonResponse(503, boost::json::object{{"error", "no answer"}}));
    };
    if (request.method != "GET" || path.empty()) {
        respond(jsonResponse(405, boost::json::object{{"error", "use GET"}}));
    } else if (path == paths_.readiness) {
        connection.request(node_, actorTimeout, ReadinessRequest{})
            .then(
                [respond](const Readiness &readiness) {
                    respond(jsonResponse(readiness.ready ? 200 : 503,
                                         boost::json::object{{"ready", readiness.ready},
                                                             {"reason", readiness.reason}}));
                },
                noAnswer);
    } else if (path == paths_.metrics) {
        collectMetrics(metricSources_, connection, std::move(respond));
    } else if (path == paths_.state) {
        connection.request(root_, actorTimeout, StateDumpRequest{})
            .then([respond](const StateDump &dump) { respond(jsonResponse(200, dump.state)); },
                  noAnswer);
    } else {
        respond(jsonResponse(404, boost::json::object{{"error", "unknown path"}}));
    }
}

} // namespace shallotwalk
