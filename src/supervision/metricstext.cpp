#include "supervision/metricstext.h"

#include <fmt/format.h>

namespace shallotwalk {

std::string metricText(std::string_view name, std::string_view type, std::string_view help,
                       std::uint64_t value, std::string_view labels)
{
    const auto series = labels.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, labels);
    return fmt::format("# HELP {} {}\n# TYPE {} {}\n{} {}\n", name, help, name, type, series,
                       value);
}

} // namespace shallotwalk
