#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotwalk {

/// One metric without or with labels (for example "listener=\"callers\"") in the text format that
/// Prometheus-compatible scrapers read. \a type is "gauge" or "counter". Thread-safe.
std::string metricText(std::string_view name, std::string_view type, std::string_view help,
                       std::uint64_t value, std::string_view labels = {});

} // namespace shallotwalk
