#include "wire/ownerrecordcodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <boost/leaf/error.hpp>

namespace shallotwalk {

namespace json = boost::json;

namespace {

json::array toArray(const std::vector<std::string> &names)
{
    return json::array(names.begin(), names.end());
}

std::vector<std::string> namesOf(const json::object &object, std::string_view key)
{
    return json::value_to<std::vector<std::string>>(object.at({key.data(), key.size()}));
}

} // namespace

std::string encodeOwnerRecord(const OwnerRecord &record)
{
    return json::serialize(json::object{
        {"epoch", record.epoch},
        {"owner", record.owner},
        {"candidates", toArray(record.candidates)},
        {"previousCandidates", toArray(record.previousCandidates)},
        {"served", record.served},
        {"confirmationSet", toArray(record.confirmationSet)},
        {"confirmCount", record.confirmCount},
    });
}

Result<OwnerRecord> decodeOwnerRecord(std::string_view text)
{
    // Boost.JSON reports missing keys and wrong types by exceptions.
    try {
        const auto value = json::parse({text.data(), text.size()});
        const auto &object = value.as_object();
        OwnerRecord record;
        record.epoch = json::value_to<Epoch>(object.at("epoch"));
        record.owner = json::value_to<std::string>(object.at("owner"));
        record.candidates = namesOf(object, "candidates");
        record.previousCandidates = namesOf(object, "previousCandidates");
        record.served = object.at("served").as_bool();
        record.confirmationSet = namesOf(object, "confirmationSet");
        record.confirmCount = json::value_to<std::uint32_t>(object.at("confirmCount"));
        return record;
    } catch (const std::exception &error) {
        return boost::leaf::new_error(
            Failure{ErrorCode::Internal, Verdict::DidNotRun,
                    std::string("malformed owner record: ") + error.what()});
    }
}

} // namespace shallotwalk
