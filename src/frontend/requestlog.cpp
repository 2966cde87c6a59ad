#include "frontend/requestlog.h"

#include "supervision/logvalue.h"

#include <spdlog/spdlog.h>

namespace shallotwalk {

void logRequest(const StatementRequest &request, const Failure *failure, Duration duration)
{
    const auto level = failure == nullptr ? spdlog::level::debug : spdlog::level::info;
    if (!spdlog::should_log(level))
        return;
    const auto verdict = failure == nullptr ? Verdict::Ran : failure->verdict;
    const auto milliseconds = std::chrono::duration<double, std::milli>(duration).count();
    // The error comes first because lines are counted by their beginning; see RateLimitSink.
    spdlog::log(level,
                "event=request error={} verdict={} request={} caller={} route={} pool={} "
                "duration_ms={:.1f}",
                failure == nullptr ? "none" : toString(failure->code), toString(verdict),
                logValue(request.requestId), logValue(request.caller), logValue(request.route),
                logValue(request.pool), milliseconds);
}

} // namespace shallotwalk
