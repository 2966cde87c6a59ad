#include "supervision/ratelimitsink.h"

#include "supervision/logvalue.h"

namespace shallotwalk {

namespace {

// Lines differ by ids and numbers, so the beginning of a line stands for its kind.
constexpr std::size_t kindLength = 40;
constexpr std::size_t kindLimit = 1000;

} // namespace

RateLimitSink::RateLimitSink(std::shared_ptr<spdlog::sinks::sink> target,
                             std::size_t linesPerSecond)
    : target_(std::move(target))
    , linesPerSecond_(linesPerSecond)
{
}

void RateLimitSink::sink_it_(const spdlog::details::log_msg &message)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(message.time.time_since_epoch());
    if (second != second_ || kinds_.size() > kindLimit) {
        reportLeftOut(message);
        kinds_.clear();
        second_ = second;
    }
    if (message.level < spdlog::level::info) {
        target_->log(message);
        return;
    }
    const std::string_view text(message.payload.data(), message.payload.size());
    auto &kind = kinds_[std::string(text.substr(0, kindLength))];
    kind.level = message.level;
    if (kind.count++ < linesPerSecond_)
        target_->log(message);
    else
        ++kind.leftOut;
}

void RateLimitSink::flush_()
{
    target_->flush();
}

void RateLimitSink::reportLeftOut(const spdlog::details::log_msg &message)
{
    for (const auto &[beginning, kind] : kinds_) {
        if (kind.leftOut == 0)
            continue;
        const auto text = "event=lines_left_out count=" + std::to_string(kind.leftOut)
                          + " beginning=" + logValue(beginning);
        target_->log(spdlog::details::log_msg(message.time, message.source, message.logger_name,
                                              kind.level, text));
    }
}

} // namespace shallotwalk
