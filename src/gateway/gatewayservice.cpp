#include "gateway/gatewayservice.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace shallotwalk {

namespace {

/// Time for an actor of this process to answer.
constexpr auto actorTimeout = std::chrono::milliseconds(900);
/// The same for the feed, which holds a request while it has nothing new.
constexpr auto feedTimeout = std::chrono::seconds(30);

HttpResponse jsonResponse(unsigned status, const boost::json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.body = boost::json::serialize(body) + "\n";
    return response;
}

} // namespace

GatewayService::GatewayService(Paths paths, caf::actor node, caf::actor root, caf::actor feed,
                               std::vector<caf::actor> metricSources)
    : paths_(std::move(paths))
    , node_(std::move(node))
    , root_(std::move(root))
    , feed_(std::move(feed))
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
    if (request.method == "POST" && !paths_.feed.empty() && path == paths_.feed) {
        serveFeed(request, connection, std::move(respond));
    } else if (request.method != "GET" || path.empty()) {
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

void GatewayService::serveFeed(const HttpRequest &request, caf::io::broker &connection,
                               Respond respond) const
{
    const auto fail = [respond](unsigned status, std::string_view reason) {
        respond(jsonResponse(status, boost::json::object{{"error", reason}}));
    };
    const auto answer = [respond, fail](const FeedAnswered &answered) {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                HttpResponse response;
                BOOST_LEAF_ASSIGN(response.body, encodeFeedBody(answered.reply));
                response.contentType = feedContentType;
                respond(std::move(response));
                return {};
            },
            [&](const Failure &failure) { fail(500, failure.message); },
            [&] { fail(500, "unknown error"); });
    };
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(asked, decodeFeedRequest(request.body));
            connection.request(feed_, feedTimeout, FeedAsked{asked})
                .then(answer, [fail](const caf::error &) { fail(503, "no answer"); });
            return {};
        },
        [&](const Failure &failure) { fail(400, failure.message); },
        [&] { fail(400, "unknown error"); });
}

} // namespace shallotwalk
