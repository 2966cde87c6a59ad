#include "supervision/jsonlogformatter.h"

#include "supervision/logvalue.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/chrono.h>

#include <algorithm>
#include <charconv>

namespace shallotwalk {

namespace {

boost::json::value numberOrText(std::string_view word)
{
    const auto *end = word.data() + word.size();
    std::int64_t integer = 0;
    if (const auto result = std::from_chars(word.data(), end, integer);
        result.ec == std::errc() && result.ptr == end)
        return integer;
    double number = 0;
    if (const auto result = std::from_chars(word.data(), end, number, std::chars_format::fixed);
        result.ec == std::errc() && result.ptr == end)
        return number;
    return boost::json::string_view(word.data(), word.size());
}

/// Takes a quoted value, written by logValue(), from the front of \a text.
std::string takeQuoted(std::string_view &text)
{
    std::string value;
    std::size_t i = 1;
    for (; i < text.size() && text[i] != '"'; ++i) {
        if (text[i] == '\\' && i + 1 < text.size())
            ++i;
        value += text[i];
    }
    text.remove_prefix(std::min(i + 1, text.size()));
    return value;
}

std::string_view takeWord(std::string_view &text)
{
    const auto word = text.substr(0, text.find(' '));
    text.remove_prefix(word.size());
    return word;
}

/// Takes "key=" from the front of \a text; empty if it doesn't begin with a key.
std::string_view takeKey(std::string_view &text)
{
    const auto end = text.find_first_of("= \"");
    if (end == std::string_view::npos || end == 0 || text[end] != '=')
        return {};
    const auto key = text.substr(0, end);
    text.remove_prefix(end + 1);
    return key;
}

void addPairs(std::string_view text, boost::json::object &members)
{
    std::string rest;
    while (!text.empty()) {
        if (text.front() == ' ') {
            text.remove_prefix(1);
            continue;
        }
        const auto key = takeKey(text);
        if (key.empty()) {
            rest += (rest.empty() ? "" : " ") + std::string(takeWord(text));
            continue;
        }
        auto value = text.starts_with('"') ? boost::json::value(takeQuoted(text))
                                           : numberOrText(takeWord(text));
        // Time, level and VM are there already and stay.
        members.emplace(boost::json::string_view(key.data(), key.size()), std::move(value));
    }
    if (!rest.empty())
        members.emplace("message", rest);
}

} // namespace

JsonLogFormatter::JsonLogFormatter(std::string vm)
    : vm_(std::move(vm))
{
}

void JsonLogFormatter::format(const spdlog::details::log_msg &message, spdlog::memory_buf_t &out)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(message.time);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(message.time - seconds).count();
    const auto level = spdlog::level::to_string_view(message.level);
    boost::json::object members{
        {"time",
         fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)), milliseconds)},
        {"level", boost::json::string_view(level.data(), level.size())},
        {"vm", vm_},
    };
    addPairs({message.payload.data(), message.payload.size()}, members);
    const auto line = boost::json::serialize(members);
    out.append(line.data(), line.data() + line.size());
    out.push_back('\n');
}

std::unique_ptr<spdlog::formatter> JsonLogFormatter::clone() const
{
    return std::make_unique<JsonLogFormatter>(vm_);
}

} // namespace shallotwalk
