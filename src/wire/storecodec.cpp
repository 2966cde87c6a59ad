#include "wire/storecodec.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace shallotwalk {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

boost::leaf::error_id badAnswer(std::string message)
{
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::MayHaveRun, "store answer: " + std::move(message)});
}

Result<json::object> parseObject(std::string_view text)
{
    json::error_code error;
    auto value = json::parse({text.data(), text.size()}, error);
    if (error)
        return badAnswer(error.message());
    if (!value.is_object())
        return badAnswer("not an object");
    return std::move(value.get_object());
}

/// The int64 named \a name, which the mapping writes as a string; 0 if left out.
Result<std::int64_t> int64Field(const json::object &object, std::string_view name)
{
    const auto *field = object.if_contains(name);
    if (!field)
        return 0;
    if (const auto *number = field->if_int64())
        return *number;
    const auto *text = field->if_string();
    std::int64_t number = 0;
    if (text) {
        const auto *end = text->data() + text->size();
        const auto parsed = std::from_chars(text->data(), end, number);
        if (parsed.ec == std::errc{} && parsed.ptr == end)
            return number;
    }
    return badAnswer(std::string(name) + " is not an int64");
}

Result<std::string> bytesField(const json::object &object, std::string_view name)
{
    const auto *field = object.if_contains(name);
    if (!field)
        return std::string();
    const auto *text = field->if_string();
    if (!text)
        return badAnswer(std::string(name) + " is not a string");
    return decodeBase64({text->data(), text->size()});
}

const json::object *objectField(const json::object &object, std::string_view name)
{
    const auto *field = object.if_contains(name);
    return field ? field->if_object() : nullptr;
}

bool boolField(const json::object &object, std::string_view name)
{
    const auto *field = object.if_contains(name);
    return field && field->is_bool() && field->get_bool();
}

Result<std::int64_t> headerRevision(const json::object &object)
{
    const auto *header = objectField(object, "header");
    if (!header)
        return badAnswer("header is missing");
    return int64Field(*header, "revision");
}

Result<KeyValue> decodeKeyValue(const json::object &object)
{
    KeyValue keyValue;
    BOOST_LEAF_ASSIGN(keyValue.key, bytesField(object, "key"));
    BOOST_LEAF_ASSIGN(keyValue.value, bytesField(object, "value"));
    BOOST_LEAF_ASSIGN(keyValue.modRevision, int64Field(object, "mod_revision"));
    return keyValue;
}

Result<std::vector<KeyValue>> decodeKeyValues(const json::object &object)
{
    std::vector<KeyValue> values;
    const auto *field = object.if_contains("kvs");
    if (!field)
        return values;
    if (!field->is_array())
        return badAnswer("kvs is not an array");
    for (const auto &item : field->get_array()) {
        if (!item.is_object())
            return badAnswer("an entry of kvs is not an object");
        BOOST_LEAF_AUTO(keyValue, decodeKeyValue(item.get_object()));
        values.push_back(std::move(keyValue));
    }
    return values;
}

Result<void> decodeEvents(const json::object &object, StoreWatchMessage &message)
{
    const auto *field = object.if_contains("events");
    if (!field)
        return {};
    if (!field->is_array())
        return badAnswer("events is not an array");
    for (const auto &item : field->get_array()) {
        const auto *event = item.if_object();
        const auto *keyValue = event ? objectField(*event, "kv") : nullptr;
        if (!keyValue)
            return badAnswer("an event has no kv");
        BOOST_LEAF_AUTO(change, decodeKeyValue(*keyValue));
        const auto *type = event->if_contains("type");
        message.changes.push_back(std::move(change));
        message.deleted.push_back(type && *type == "DELETE");
    }
    return {};
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    const auto content = text.substr(0, text.find('='));
    const auto padding = text.size() - content.size();
    std::string bytes(base64::decoded_size(text.size()) + 3, '\0');
    const auto [written, read] = base64::decode(bytes.data(), content.data(), content.size());
    if (read != content.size() || text.size() % 4 != 0 || padding > 2
        || text.substr(content.size()).find_first_not_of('=') != std::string_view::npos)
        return badAnswer("invalid base64");
    bytes.resize(written);
    return bytes;
}

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0');
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

std::string encodeRangeRequest(std::string_view key, bool prefix)
{
    json::object request{{"key", encodeBase64(key)}};
    if (prefix)
        request["range_end"] = encodeBase64(prefixEnd(key));
    return json::serialize(request);
}

std::string encodeLatestRequest(std::string_view prefix)
{
    return json::serialize(json::object{{"key", encodeBase64(prefix)},
                                        {"range_end", encodeBase64(prefixEnd(prefix))},
                                        {"limit", "1"},
                                        {"sort_order", "DESCEND"},
                                        {"sort_target", "MOD"},
                                        {"keys_only", true}});
}

std::string encodeSwapRequest(std::string_view key, std::string_view value,
                              std::int64_t expectedRevision)
{
    const auto encodedKey = encodeBase64(key);
    const json::object compare{{"key", encodedKey},
                               {"target", "MOD"},
                               {"result", "EQUAL"},
                               {"mod_revision", std::to_string(expectedRevision)}};
    const json::object put{
        {"request_put", json::object{{"key", encodedKey}, {"value", encodeBase64(value)}}}};
    const json::object range{{"request_range", json::object{{"key", encodedKey}}}};
    return json::serialize(json::object{{"compare", json::array({compare})},
                                        {"success", json::array({put})},
                                        {"failure", json::array({range})}});
}

std::string encodeWatchRequest(std::string_view prefix, std::int64_t startRevision)
{
    return json::serialize(json::object{
        {"create_request", json::object{{"key", encodeBase64(prefix)},
                                        {"range_end", encodeBase64(prefixEnd(prefix))},
                                        {"start_revision", std::to_string(startRevision)}}}});
}

Result<StoreRange> decodeRangeResponse(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parseObject(body));
    StoreRange range;
    BOOST_LEAF_ASSIGN(range.revision, headerRevision(object));
    BOOST_LEAF_ASSIGN(range.values, decodeKeyValues(object));
    return range;
}

Result<StoreSwap> decodeSwapResponse(std::string_view body)
{
    BOOST_LEAF_AUTO(object, parseObject(body));
    StoreSwap swap;
    BOOST_LEAF_ASSIGN(swap.revision, headerRevision(object));
    swap.succeeded = boolField(object, "succeeded");
    if (swap.succeeded)
        return swap;
    const auto *responses = object.if_contains("responses");
    if (!responses || !responses->is_array() || responses->get_array().empty())
        return badAnswer("a failed transaction has no read");
    const auto *first = responses->get_array().front().if_object();
    const auto *range = first ? objectField(*first, "response_range") : nullptr;
    if (!range)
        return badAnswer("a failed transaction has no read");
    BOOST_LEAF_ASSIGN(swap.current, decodeKeyValues(*range));
    return swap;
}

Result<StoreWatchMessage> decodeWatchMessage(std::string_view line)
{
    BOOST_LEAF_AUTO(object, parseObject(line));
    const auto *result = objectField(object, "result");
    if (!result)
        return badAnswer("watch error: " + std::string(line.substr(0, 200)));
    StoreWatchMessage message;
    BOOST_LEAF_ASSIGN(message.revision, headerRevision(*result));
    message.created = boolField(*result, "created");
    message.canceled = boolField(*result, "canceled");
    BOOST_LEAF_ASSIGN(message.compactRevision, int64Field(*result, "compact_revision"));
    BOOST_LEAF_CHECK(decodeEvents(*result, message));
    return message;
}

} // namespace shallotwalk
