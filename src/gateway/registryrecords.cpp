#include "gateway/registryrecords.h"

#include "core/ipnumber.h"
#include "wire/jsonreader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include <limits>

namespace shallotwalk {

std::string suspicionKey(std::string_view service, std::string_view vm)
{
    std::string key(suspicionsPrefix);
    key += service;
    key += '/';
    key += vm;
    return key;
}

std::pair<std::string_view, std::string_view> parseSuspicionKey(std::string_view key)
{
    if (!key.starts_with(suspicionsPrefix))
        return {};
    key.remove_prefix(suspicionsPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return {};
    return {key.substr(0, slash), key.substr(slash + 1)};
}

std::string encodeFleetEntry(const FleetMember &member)
{
    return boost::json::serialize(boost::json::object{{"dataCentre", member.dataCentre},
                                                      {"host", member.host},
                                                      {"port", member.port},
                                                      {"quotaPort", member.quotaPort}});
}

FleetMember decodeFleetEntry(std::string_view vm, std::string_view value)
{
    FleetMember member;
    member.vm = vm;
    const auto parsing = parseJson(value);
    if (parsing.error)
        return member;
    FleetMember described = member;
    std::vector<JsonProblem> problems;
    JsonReader reader(parsing.value, {}, problems, JsonStrictness::Foreign);
    reader.requiredText("dataCentre", described.dataCentre);
    reader.requiredText("host", described.host);
    reader.require("port");
    reader.wholeNumber("port", described.port, 1, std::numeric_limits<std::uint16_t>::max());
    // Proxies of the version before don't write it.
    reader.wholeNumber("quotaPort", described.quotaPort, 0,
                       std::numeric_limits<std::uint16_t>::max());
    return problems.empty() && isIpNumber(described.host) ? described : member;
}

std::string encodePromotion(const PromotionRecord &record)
{
    return boost::json::serialize(boost::json::object{{"service", record.service},
                                                      {"server", record.server},
                                                      {"holder", record.holder},
                                                      {"nonce", record.nonce},
                                                      {"term", record.position.term},
                                                      {"position", record.position.lsn},
                                                      {"endedTerm", record.endedTerm},
                                                      {"number", record.number},
                                                      {"floorTerm", record.floor.term},
                                                      {"floorPosition", record.floor.lsn}});
}

Result<PromotionRecord> decodePromotion(std::string_view value, StoreRevision revision)
{
    const auto parsing = parseJson(value);
    if (parsing.error) {
        return boost::leaf::new_error(
            Failure{ErrorCode::BadRequest, Verdict::DidNotRun, parsing.error->message});
    }
    PromotionRecord record;
    record.revision = revision;
    std::vector<JsonProblem> problems;
    JsonReader reader(parsing.value, {}, problems);
    reader.requiredText("service", record.service);
    reader.text("server", record.server);
    reader.requiredText("holder", record.holder);
    reader.text("nonce", record.nonce);
    reader.integer("term", record.position.term, 0, std::numeric_limits<Term>::max());
    reader.integer("position", record.position.lsn, 0, std::numeric_limits<std::int64_t>::max());
    // A proxy of the version before doesn't write the term that its promotion ends.
    record.endedTerm = record.position.term;
    reader.integer("endedTerm", record.endedTerm, 0, std::numeric_limits<Term>::max());
    // Nor does it write a floor, which the position bounds.
    record.floor = record.position;
    reader.integer("floorTerm", record.floor.term, 0, std::numeric_limits<Term>::max());
    reader.integer("floorPosition", record.floor.lsn, 0, std::numeric_limits<std::int64_t>::max());
    reader.integer("number", record.number, 0, std::numeric_limits<std::int64_t>::max());
    if (!problems.empty()) {
        return boost::leaf::new_error(
            Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                    problems.front().path + ": " + problems.front().message});
    }
    return record;
}

} // namespace shallotwalk
