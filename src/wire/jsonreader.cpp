#include "wire/jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/json/parse_options.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace shallotwalk {

namespace json = boost::json;

namespace {

JsonSyntaxError syntaxError(std::string_view text, std::size_t offset, std::string message)
{
    const auto before = text.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto lineStart = before.rfind('\n');
    const auto column = lineStart == std::string_view::npos ? offset + 1 : offset - lineStart;
    return {static_cast<std::size_t>(line), column, std::move(message)};
}

/// Longest part of a refused value that a message shows, in bytes.
constexpr std::size_t maxShownBytes = 80;

/// Returns \a value for a message.
std::string shown(const json::value &value)
{
    auto text = json::serialize(value);
    if (text.size() > maxShownBytes)
        text = text.substr(0, maxShownBytes) + "...";
    return text;
}

JsonParsing parse(std::string_view text, const json::parse_options &options)
{
    json::stream_parser parser({}, options);
    json::error_code error;
    const auto used = parser.write_some(text.data(), text.size(), error);
    if (!error && used < text.size())
        error = json::error::extra_data;
    if (!error)
        parser.finish(error);
    if (error)
        return {{}, syntaxError(text, used, error.message())};
    return {parser.release(), std::nullopt};
}

} // namespace

JsonParsing parseJson(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    return parse(text, options);
}

JsonParsing parseForeignJson(std::string_view text)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    return parse(text, options);
}

Result<json::value> parseJsonWithComments(std::string_view text)
{
    auto parsing = parseJson(text);
    if (!parsing.error)
        return std::move(parsing.value);
    const auto &error = *parsing.error;
    return boost::leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                          "malformed JSON at line " + std::to_string(error.line)
                                              + ", column " + std::to_string(error.column) + ": "
                                              + error.message});
}

JsonReader::JsonReader(const json::value &value, std::string path,
                       std::vector<JsonProblem> &problems, JsonStrictness strictness)
    : object_(value.if_object())
    , path_(std::move(path))
    , problems_(problems)
    , strictness_(strictness)
{
    if (object_ == nullptr)
        problems_.push_back({path_, "must be an object"});
}

void JsonReader::reportUnknown()
{
    if (object_ == nullptr || strictness_ == JsonStrictness::Foreign)
        return;
    std::string names;
    for (const auto &name : known_)
        names += (names.empty() ? "" : ", ") + name;
    for (const auto &member : *object_) {
        const std::string_view key(member.key().data(), member.key().size());
        if (!known_.contains(key))
            problem(key, "unknown key; known are " + names);
    }
}

void JsonReader::require(std::string_view key)
{
    if (find(key) == nullptr && object_ != nullptr)
        problem(key, "is missing");
}

void JsonReader::text(std::string_view key, std::string &target)
{
    const auto *value = find(key);
    if (value == nullptr)
        return;
    if (const auto *text = value->if_string())
        target = *text;
    else
        problem(key, "must be a string");
}

void JsonReader::requiredText(std::string_view key, std::string &target)
{
    require(key);
    const auto *value = find(key);
    if (value != nullptr && value->is_string() && value->get_string().empty())
        problem(key, "must not be empty");
    text(key, target);
}

void JsonReader::texts(std::string_view key, std::vector<std::string> &target)
{
    const auto *value = find(key);
    if (value == nullptr)
        return;
    const auto *list = value->if_array();
    if (list == nullptr) {
        problem(key, "must be an array of strings");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < list->size(); ++i) {
        if (const auto *entry = (*list)[i].if_string())
            target.emplace_back(*entry);
        else
            problem(std::string(key) + "[" + std::to_string(i) + "]", "must be a string");
    }
}

void JsonReader::flag(std::string_view key, bool &target)
{
    const auto *value = find(key);
    if (value == nullptr)
        return;
    if (const auto *flag = value->if_bool())
        target = *flag;
    else
        problem(key, "must be true or false");
}

void JsonReader::object(std::string_view key, const std::function<void(JsonReader &)> &read)
{
    const auto *value = find(key);
    if (value == nullptr)
        return;
    JsonReader reader(*value, pathOf(key), problems_, strictness_);
    read(reader);
    reader.reportUnknown();
}

void JsonReader::objects(std::string_view key, const std::function<void(JsonReader &)> &read)
{
    const auto *value = find(key);
    if (value == nullptr)
        return;
    const auto *list = value->if_array();
    if (list == nullptr) {
        problem(key, "must be an array of objects");
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
        JsonReader reader((*list)[i], pathOf(key) + "[" + std::to_string(i) + "]", problems_,
                          strictness_);
        read(reader);
        reader.reportUnknown();
    }
}

bool JsonReader::isEmptyArray(std::string_view key)
{
    const auto *value = find(key);
    return value != nullptr && value->is_array() && value->get_array().empty();
}

void JsonReader::problem(std::string_view key, std::string message)
{
    problems_.push_back({pathOf(key), std::move(message)});
}

const json::value *JsonReader::find(std::string_view key)
{
    known_.emplace(key);
    return object_ == nullptr ? nullptr : object_->if_contains({key.data(), key.size()});
}

bool JsonReader::isWholeOrAbsent(std::string_view key)
{
    const auto *value = find(key);
    if (value == nullptr || !value->is_double())
        return true;
    const double number = value->get_double();
    if (std::trunc(number) == number)
        return true;
    problem(key, "must be a whole number, not " + shown(*value));
    return false;
}

bool JsonReader::readInteger(std::string_view key, std::int64_t &value, std::int64_t lowest,
                             std::int64_t highest)
{
    const auto *member = find(key);
    if (member == nullptr)
        return false;
    const auto range = std::to_string(lowest) + " to " + std::to_string(highest);
    const auto integer = toInteger(*member);
    value = integer.value_or(0);
    if (!integer) {
        problem(key, "must be an integer from " + range + ", not " + shown(*member));
        return false;
    }
    if (value < lowest || value > highest) {
        problem(key, "value " + std::to_string(value) + " is outside " + range);
        return false;
    }
    return true;
}

bool JsonReader::number(std::string_view key, double &target, double lowest, double highest)
{
    const auto *member = find(key);
    if (member == nullptr)
        return false;
    json::error_code error;
    const auto value = member->is_number() ? member->to_number<double>(error) : NAN;
    // Negated, so that it holds for NaN.
    if (error || !(value >= lowest && value <= highest)) {
        std::ostringstream message;
        message << "must be a number from " << lowest << " to " << highest;
        problem(key, message.str());
        return false;
    }
    target = value;
    return true;
}

std::optional<std::int64_t> JsonReader::toInteger(const json::value &value) const
{
    json::error_code error;
    if (value.is_int64() || value.is_uint64()) {
        const auto number = value.to_number<std::int64_t>(error);
        return error ? std::nullopt : std::optional(number);
    }
    // Larger doubles have no exact integer.
    constexpr double largest = 9007199254740992.0;
    if (strictness_ != JsonStrictness::Foreign || !value.is_double()
        || std::abs(value.get_double()) > largest)
        return std::nullopt;
    return static_cast<std::int64_t>(value.get_double());
}

void JsonReader::integers(std::string_view key, std::vector<std::int64_t> &target,
                          std::int64_t lowest, std::int64_t highest)
{
    const auto *value = find(key);
    if (value == nullptr)
        return;
    const auto *list = value->if_array();
    if (list == nullptr) {
        problem(key, "must be an array of integers");
        return;
    }
    target.clear();
    for (const auto &entry : *list) {
        const auto number = toInteger(entry);
        if (number && *number >= lowest && *number <= highest)
            target.push_back(*number);
        else
            problem(key, "must hold integers from " + std::to_string(lowest) + " to "
                             + std::to_string(highest) + ", not " + shown(entry));
    }
}

std::optional<std::size_t> JsonReader::readChoice(std::string_view key,
                                                  const std::vector<std::string_view> &names)
{
    const auto *member = find(key);
    if (member == nullptr)
        return std::nullopt;
    std::string list;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto *text = member->if_string();
        if (text != nullptr && std::string_view(text->data(), text->size()) == names[i])
            return i;
        list += (list.empty() ? "\"" : ", \"") + std::string(names[i]) + "\"";
    }
    problem(key, "must be one of " + list + ", not " + shown(*member));
    return std::nullopt;
}

std::string JsonReader::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

} // namespace shallotwalk
