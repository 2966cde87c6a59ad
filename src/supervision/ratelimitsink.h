#pragma once

#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace shallotwalk {

/// Writes at most a bounded number of lines of one kind per second to another sink, so that a flood
/// of equal errors can't fill the logs or slow the process. The first line of a later second is
/// preceded by one line for each kind with the number that was left out. Lines of one kind have the
/// same beginning. Lines below level info are not limited: an operator who asks for them wants all.
class RateLimitSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    RateLimitSink(std::shared_ptr<spdlog::sinks::sink> target, std::size_t linesPerSecond);

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    struct Kind
    {
        spdlog::level::level_enum level = spdlog::level::info;
        std::size_t count = 0;
        std::size_t leftOut = 0;
    };

    void reportLeftOut(const spdlog::details::log_msg &message);

    std::shared_ptr<spdlog::sinks::sink> target_;
    std::size_t linesPerSecond_;
    std::chrono::seconds second_{0};
    std::map<std::string, Kind, std::less<>> kinds_; ///< Of the present second.
};

} // namespace shallotwalk
