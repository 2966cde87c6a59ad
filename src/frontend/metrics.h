#pragma once

#include "core/failure.h"
#include "core/time.h"
#include "supervision/latencysummary.h"

#include <map>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Counts and latencies of this proxy's requests, by route and outcome. Not thread-safe; an actor
/// owns it.
class Metrics
{
public:
    /// Counts one answered request. \a outcome is "ok" or the name of an ErrorCode.
    void recordRequest(std::string_view route, std::string_view outcome, std::string_view verdict,
                       Duration duration);

    /// All metrics in the text format that Prometheus-compatible scrapers read.
    std::string toText() const;

private:
    struct Key
    {
        std::string route;
        std::string outcome;
        std::string verdict;
        auto operator<=>(const Key &) const = default;
    };

    std::map<Key, std::uint64_t> requests_;
    std::map<std::string, LatencySummary, std::less<>> latencies_;
};

} // namespace shallotwalk
