#include "control/logstory.h"

#include "wire/jsonreader.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace shallotwalk {

namespace {

std::string textOf(const boost::json::value &value)
{
    if (const auto *text = value.if_string())
        return std::string(*text);
    return boost::json::serialize(value);
}

std::string memberOf(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    return value == nullptr ? std::string() : textOf(*value);
}

} // namespace

LogStory::LogStory(std::string word)
    : word_(std::move(word))
{
}

void LogStory::add(std::string_view text)
{
    while (!text.empty()) {
        const auto end = text.find('\n');
        addLine(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
}

void LogStory::addLine(std::string_view line)
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        unreadable_ += line.empty() ? 0 : 1;
        return;
    }
    const auto parsing = parseJson(line.substr(begin));
    const auto *object = parsing.error ? nullptr : parsing.value.if_object();
    if (object == nullptr) {
        ++unreadable_;
        return;
    }
    const bool matches = std::any_of(object->begin(), object->end(), [this](const auto &member) {
        return textOf(member.value()) == word_;
    });
    if (!matches)
        return;
    const auto time = memberOf(*object, "time");
    std::string text = time;
    text.append(" ").append(memberOf(*object, "vm")).append(" ").append(memberOf(*object, "event"));
    for (const auto &member : *object) {
        const std::string_view key(member.key().data(), member.key().size());
        if (key != "time" && key != "vm" && key != "event" && key != "level")
            text.append(" ").append(key).append("=").append(textOf(member.value()));
    }
    entries_.push_back({time, std::move(text)});
}

std::vector<std::string> LogStory::lines() const
{
    auto sorted = entries_;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const Entry &left, const Entry &right) { return left.time < right.time; });
    std::vector<std::string> lines;
    lines.reserve(sorted.size());
    for (auto &entry : sorted)
        lines.push_back(std::move(entry.text));
    return lines;
}

} // namespace shallotwalk
