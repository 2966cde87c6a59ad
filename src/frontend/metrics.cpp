#include "frontend/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace shallotwalk {

namespace {

// Routes come from the tables, so this only guards against tables that change without end.
constexpr std::size_t seriesLimit = 5000;

} // namespace

void Metrics::recordRequest(std::string_view route, std::string_view outcome,
                            std::string_view verdict, Duration duration)
{
    Key key{std::string(route), std::string(outcome), std::string(verdict)};
    if (requests_.size() >= seriesLimit && !requests_.contains(key))
        return;
    ++requests_[std::move(key)];
    auto found = latencies_.find(route);
    if (found == latencies_.end())
        found = latencies_.emplace(std::string(route), LatencySummary()).first;
    found->second.add(duration);
}

std::string Metrics::toText() const
{
    std::string text = "# HELP shallotwalk_requests_total Answered requests.\n"
                       "# TYPE shallotwalk_requests_total counter\n";
    const auto out = std::back_inserter(text);
    for (const auto &[key, count] : requests_) {
        fmt::format_to(out,
                       "shallotwalk_requests_total{{route=\"{}\",outcome=\"{}\",verdict=\"{}\"}} "
                       "{}\n",
                       key.route, key.outcome, key.verdict, count);
    }
    text += "# HELP shallotwalk_request_seconds Time from a request's arrival to its answer.\n"
            "# TYPE shallotwalk_request_seconds summary\n";
    for (const auto &[route, latency] : latencies_)
        text += latency.toText("shallotwalk_request_seconds", fmt::format("route=\"{}\"", route));
    return text;
}

} // namespace shallotwalk
