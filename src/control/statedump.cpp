#include "control/statedump.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace shallotwalk {

namespace json = boost::json;

const json::object &objectOf(const json::value &value)
{
    static const json::object none;
    return value.is_object() ? value.get_object() : none;
}

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr)
        return "-";
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

void visitObjects(const json::value &dump, std::initializer_list<std::string_view> keys,
                  const std::function<void(const json::object &)> &visit)
{
    if (const auto *list = dump.if_array()) {
        for (const auto &entry : *list)
            visitObjects(entry, keys, visit);
    } else if (const auto *object = dump.if_object()) {
        if (std::all_of(keys.begin(), keys.end(), [object](std::string_view key) {
                return object->contains({key.data(), key.size()});
            }))
            visit(*object);
        for (const auto &member : *object)
            visitObjects(member.value(), keys, visit);
    }
}

void visitDatabases(const json::value &dump, const std::function<void(const json::object &)> &visit)
{
    visitObjects(dump, {"pool", "serving"}, visit);
}

} // namespace shallotwalk
