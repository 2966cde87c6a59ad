#include "gateway/registryrecords.h"

#include "wire/jsonreader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace shallotwalk {

std::string encodePromotion(const PromotionRecord &record)
{
    return boost::json::serialize(boost::json::object{{"service", record.service},
                                                      {"server", record.server},
                                                      {"holder", record.holder},
                                                      {"nonce", record.nonce}});
}

Result<PromotionRecord> decodePromotion(std::string_view value, std::int64_t revision)
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
    reader.requiredText("server", record.server);
    reader.requiredText("holder", record.holder);
    reader.text("nonce", record.nonce);
    if (!problems.empty()) {
        return boost::leaf::new_error(
            Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                    problems.front().path + ": " + problems.front().message});
    }
    return record;
}

} // namespace shallotwalk
