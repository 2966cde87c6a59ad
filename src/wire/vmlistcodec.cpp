#include "wire/vmlistcodec.h"

#include <boost/json.hpp>

namespace shallotwalk {

namespace json = boost::json;

namespace {

boost::leaf::error_id badList(std::string message)
{
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, "list of VMs: " + std::move(message)});
}

Result<std::string> textField(const json::object &object, std::string_view name)
{
    const auto *field = object.if_contains(name);
    if (!field || !field->is_string())
        return badList(std::string(name) + " is missing or not a string");
    return std::string(field->get_string());
}

Result<VmEntry> decodeEntry(const json::value &item)
{
    const auto *object = item.if_object();
    if (!object)
        return badList("an entry is not an object");
    VmEntry entry;
    BOOST_LEAF_ASSIGN(entry.vm, textField(*object, "vm"));
    BOOST_LEAF_ASSIGN(entry.host, textField(*object, "host"));
    BOOST_LEAF_ASSIGN(entry.dataCentre, textField(*object, "dataCentre"));
    BOOST_LEAF_ASSIGN(entry.role, textField(*object, "role"));
    BOOST_LEAF_AUTO(state, textField(*object, "state"));
    if (state != "live" && state != "leaving")
        return badList("state \"" + state + "\" is neither \"live\" nor \"leaving\"");
    entry.leaving = state == "leaving";
    return entry;
}

Result<json::value> parse(std::string_view text)
{
    json::error_code error;
    auto value = json::parse({text.data(), text.size()}, error);
    if (error)
        return badList(error.message());
    return value;
}

} // namespace

std::string encodeVmEntry(const VmEntry &entry)
{
    return json::serialize(json::object{{"vm", entry.vm},
                                        {"host", entry.host},
                                        {"dataCentre", entry.dataCentre},
                                        {"role", entry.role},
                                        {"state", entry.leaving ? "leaving" : "live"}});
}

Result<VmEntry> decodeVmEntry(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parse(text));
    return decodeEntry(value);
}

Result<std::vector<VmEntry>> decodeVmList(std::string_view body)
{
    BOOST_LEAF_AUTO(value, parse(body));
    if (!value.is_array())
        return badList("not an array");
    std::vector<VmEntry> entries;
    for (const auto &item : value.get_array()) {
        BOOST_LEAF_AUTO(entry, decodeEntry(item));
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace shallotwalk
