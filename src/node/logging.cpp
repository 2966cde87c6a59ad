#include "node/logging.h"

#include "supervision/jsonlogformatter.h"
#include "supervision/ratelimitsink.h"

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

constexpr std::size_t equalLinesPerSecond = 5;

} // namespace

void configureLogging(const Settings &settings)
{
    auto output = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    if (settings.logFormat == LogFormat::Json)
        output->set_formatter(std::make_unique<JsonLogFormatter>(settings.vm));
    else
        output->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l vm=" + settings.vm + " %v");
    auto limited = std::make_shared<RateLimitSink>(std::move(output), equalLinesPerSecond);
    auto logger = std::make_shared<spdlog::logger>("shallotwalk", std::move(limited));
    logger->set_level(spdlog::level::from_str(settings.logLevel));
    logger->flush_on(spdlog::level::trace);
    spdlog::set_default_logger(std::move(logger));
}

} // namespace shallotwalk
