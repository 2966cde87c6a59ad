#pragma once

#include <spdlog/formatter.h>

#include <memory>
#include <string>

namespace shallotwalk {

/// Formats each log line as a JSON object: time, level and VM, and one member for each key=value
/// pair. Unquoted numbers become JSON numbers; text outside pairs is the member "message".
class JsonLogFormatter : public spdlog::formatter
{
public:
    explicit JsonLogFormatter(std::string vm);

    void format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &out) override;
    std::unique_ptr<spdlog::formatter> clone() const override;

private:
    std::string vm_;
};

} // namespace shallotwalk
