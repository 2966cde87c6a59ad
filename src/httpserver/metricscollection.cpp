#include "httpserver/metricscollection.h"

#include "supervision/messages.h"

#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

namespace {

constexpr auto sourceTimeout = std::chrono::seconds(2);

struct Collector
{
    std::vector<std::string> texts;
    std::size_t pending = 0;
};

} // namespace

void collectMetrics(std::span<const caf::actor> sources, caf::io::broker &connection,
                    HttpService::Respond respond)
{
    auto collector = std::make_shared<Collector>();
    collector->texts.resize(sources.size());
    collector->pending = sources.size();
    const auto finish = [collector, respond = std::move(respond)] {
        if (--collector->pending > 0)
            return;
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        for (const auto &text : collector->texts)
            response.body += text;
        respond(std::move(response));
    };
    for (std::size_t i = 0; i < sources.size(); ++i) {
        connection.request(sources[i], sourceTimeout, MetricsRequest{})
            .then(
                [collector, finish, i](const MetricsText &metrics) {
                    collector->texts[i] = metrics.text;
                    finish();
                },
                [finish](const caf::error &) { finish(); });
    }
}

} // namespace shallotwalk
