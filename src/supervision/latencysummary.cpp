#include "supervision/latencysummary.h"

#include <fmt/format.h>

#include <array>
#include <iterator>

namespace shallotwalk {

namespace {

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

} // namespace

LatencySummary::LatencySummary()
    : accumulator_(boost::accumulators::extended_p_square_probabilities = quantiles)
{
}

void LatencySummary::add(Duration duration)
{
    accumulator_(std::chrono::duration<double>(duration).count());
}

std::uint64_t LatencySummary::count() const
{
    return boost::accumulators::count(accumulator_);
}

double LatencySummary::sum() const
{
    return boost::accumulators::sum(accumulator_);
}

double LatencySummary::quantile(double probability) const
{
    return boost::accumulators::quantile(accumulator_,
                                         boost::accumulators::quantile_probability = probability);
}

std::string LatencySummary::toText(std::string_view name, std::string_view labels) const
{
    std::string text;
    const auto out = std::back_inserter(text);
    for (const auto probability : quantiles) {
        fmt::format_to(out, "{}{{{},quantile=\"{}\"}} {}\n", name, labels, probability,
                       quantile(probability));
    }
    fmt::format_to(out, "{}_sum{{{}}} {}\n", name, labels, sum());
    fmt::format_to(out, "{}_count{{{}}} {}\n", name, labels, count());
    return text;
}

} // namespace shallotwalk
