#include "wire/storedresponse.h"

#include <boost/json.hpp>

namespace shallotwalk {

namespace {

namespace json = boost::json;

json::array encodeRow(const std::vector<std::optional<std::string>> &row)
{
    json::array encoded;
    for (const auto &value : row)
        encoded.push_back(value ? json::value(*value) : json::value(nullptr));
    return encoded;
}

std::vector<std::optional<std::string>> decodeRow(const json::array &row)
{
    std::vector<std::optional<std::string>> decoded;
    decoded.reserve(row.size());
    for (const auto &value : row) {
        if (value.is_null())
            decoded.emplace_back();
        else
            decoded.emplace_back(std::string(value.as_string()));
    }
    return decoded;
}

} // namespace

std::string encodeStoredResponse(const StatementResult &result)
{
    json::object object;
    object["affected_rows"] = result.affectedRows;
    auto &columns = object["columns"].emplace_array();
    for (const auto &column : result.columns)
        columns.emplace_back(column);
    auto &rows = object["rows"].emplace_array();
    for (const auto &row : result.rows)
        rows.emplace_back(encodeRow(row));
    return json::serialize(object);
}

Result<StatementResult> decodeStoredResponse(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        StatementResult result;
        result.affectedRows = value.at("affected_rows").to_number<std::int64_t>();
        for (const auto &column : value.at("columns").as_array())
            result.columns.emplace_back(column.as_string());
        for (const auto &row : value.at("rows").as_array())
            result.rows.push_back(decodeRow(row.as_array()));
        return result;
    } catch (const std::exception &error) {
        return boost::leaf::new_error(
            Failure{ErrorCode::Internal, Verdict::Ran,
                    std::string("stored response can't be decoded: ") + error.what()});
    }
}

} // namespace shallotwalk
