#pragma once

#include "core/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <string>
#include <string_view>

namespace shallotwalk {

/// Distribution of the time that requests of one kind took, in seconds. Not thread-safe.
class LatencySummary
{
public:
    LatencySummary();

    void add(Duration duration);

    std::uint64_t count() const;
    double sum() const;

    /// Estimated quantile; \a probability is 0.5, 0.9 or 0.99.
    double quantile(double probability) const;

    /// The samples of the summary \a name in the text format that Prometheus-compatible scrapers
    /// read. \a labels is not empty, for example "route=\"boards\"".
    std::string toText(std::string_view name, std::string_view labels) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator accumulator_;
};

} // namespace shallotwalk
