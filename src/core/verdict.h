#pragma once

#include <optional>
#include <string_view>

namespace shallotwalk {

/// Says whether a request may have taken effect on a backend server.
enum class Verdict {
    DidNotRun,  ///< No backend server has run or will run it. Only these may be retried.
    MayHaveRun, ///< It may take effect, or have taken effect, and the outcome is unknown.
    Ran,        ///< It took effect.
};

/// The verdict's fixed name in answers and logs. Thread-safe.
std::string_view toString(Verdict verdict);

/// Inverse of toString(); empty for an unknown name. Thread-safe.
std::optional<Verdict> verdictFromString(std::string_view name);

} // namespace shallotwalk
