#include "wire/tablescodec.h"

#include "wire/jsonreader.h"

#include <boost/json.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>

namespace shallotwalk {

namespace json = boost::json;

namespace {

/// On average one row in so many ends a part.
constexpr std::uint64_t rowsPerPart = 64;

constexpr std::array<std::string_view, 3> kindNames = {"short", "long", "auto"};

boost::leaf::error_id badTables(std::string message)
{
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, "tables: " + std::move(message)});
}

using Problems = std::vector<JsonProblem>;

/// Reads an integer of the range of \a Number.
template<class Number>
void readNumber(JsonReader &reader, std::string_view key, Number &target)
{
    constexpr std::uint64_t highest = std::numeric_limits<std::int64_t>::max();
    reader.integer(key, target, 0,
                   static_cast<std::int64_t>(
                       std::min<std::uint64_t>(std::numeric_limits<Number>::max(), highest)));
}

void readMilliseconds(JsonReader &reader, std::string_view key, Duration &target)
{
    reader.milliseconds(key, target, 0, std::numeric_limits<std::uint32_t>::max());
}

void requiredText(JsonReader &reader, std::string_view key, std::string &target)
{
    reader.require(key);
    reader.text(key, target);
}

void readServer(JsonReader &reader, BackendServer &server)
{
    requiredText(reader, "vm", server.vm);
    requiredText(reader, "dataCentre", server.dataCentre);
    requiredText(reader, "host", server.host);
    reader.require("port");
    readNumber(reader, "port", server.port);
}

void readPool(JsonReader &reader, Pool &pool)
{
    requiredText(reader, "name", pool.name);
    reader.require("servers");
    reader.objects("servers",
                   [&pool](JsonReader &entry) { readServer(entry, pool.servers.emplace_back()); });
    requiredText(reader, "databaseName", pool.databaseName);
    requiredText(reader, "user", pool.user);
    readNumber(reader, "connectionLimit", pool.connectionLimit);
    readNumber(reader, "longSlots", pool.longSlots);
    readNumber(reader, "confirmReplicas", pool.confirmReplicas);
}

void readRoute(JsonReader &reader, Route &route)
{
    requiredText(reader, "name", route.name);
    reader.require("callers");
    reader.texts("callers", route.callers);
    requiredText(reader, "service", route.service);
    requiredText(reader, "database", route.database);
    requiredText(reader, "pool", route.pool);
    reader.choice("kind", route.kind,
                  {{kindNames[0], WorkKind::Short},
                   {kindNames[1], WorkKind::Long},
                   {kindNames[2], WorkKind::Auto}});
    readMilliseconds(reader, "maxStalenessMs", route.maxStaleness);
    readMilliseconds(reader, "timeoutMs", route.timeout);
    readNumber(reader, "weight", route.weight);
    readNumber(reader, "queueLimit", route.queueLimit);
    reader.flag("requireRequestKey", route.requireRequestKey);
}

void readTables(JsonReader &reader, Tables &tables)
{
    reader.require("routes");
    reader.objects(
        "routes", [&tables](JsonReader &entry) { readRoute(entry, tables.routes.emplace_back()); });
    reader.require("pools");
    reader.objects("pools",
                   [&tables](JsonReader &entry) { readPool(entry, tables.pools.emplace_back()); });
    reader.reportUnknown();
}

std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json::object encodePool(const Pool &pool)
{
    json::array servers;
    for (const auto &server : pool.servers) {
        servers.push_back(json::object{{"vm", server.vm},
                                       {"dataCentre", server.dataCentre},
                                       {"host", server.host},
                                       {"port", server.port}});
    }
    return {{"name", pool.name},
            {"servers", std::move(servers)},
            {"databaseName", pool.databaseName},
            {"user", pool.user},
            {"connectionLimit", pool.connectionLimit},
            {"longSlots", pool.longSlots},
            {"confirmReplicas", pool.confirmReplicas}};
}

json::object encodeRoute(const Route &route)
{
    return {{"name", route.name},
            {"callers", json::value_from(route.callers)},
            {"service", route.service},
            {"database", route.database},
            {"pool", route.pool},
            {"kind", kindNames.at(static_cast<std::size_t>(route.kind))},
            {"maxStalenessMs", millisecondsOf(route.maxStaleness)},
            {"timeoutMs", millisecondsOf(route.timeout)},
            {"weight", route.weight},
            {"queueLimit", route.queueLimit},
            {"requireRequestKey", route.requireRequestKey}};
}

template<class Rows, class Encode>
std::string encodeRows(const Rows &rows, Encode encode)
{
    std::string text;
    for (const auto &row : rows)
        text += (text.empty() ? "\n    " : ",\n    ") + json::serialize(encode(row));
    return "[" + text + "\n  ]";
}

} // namespace

TablesDecoding decodeTables(std::string_view text)
{
    TablesDecoding decoding;
    const auto parsing = parseJson(text);
    if (parsing.error) {
        decoding.problems.push_back(
            {std::to_string(parsing.error->line) + ":" + std::to_string(parsing.error->column),
             parsing.error->message});
        return decoding;
    }
    Problems problems;
    JsonReader reader(parsing.value, {}, problems);
    readTables(reader, decoding.tables);
    for (auto &problem : problems)
        decoding.problems.push_back({std::move(problem.path), std::move(problem.message)});
    return decoding;
}

std::string encodeTables(const Tables &tables)
{
    return "{\n  \"routes\": " + encodeRows(tables.routes, encodeRoute)
           + ",\n  \"pools\": " + encodeRows(tables.pools, encodePool) + "\n}\n";
}

std::string partHash(std::string_view content)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(content.data(), content.size()));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : canonical.digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

Result<std::vector<TablesPart>> splitTables(const Tables &tables)
{
    std::vector<std::string> rows;
    for (const auto &route : tables.routes)
        rows.push_back("route " + json::serialize(encodeRoute(route)) + "\n");
    for (const auto &pool : tables.pools)
        rows.push_back("pool " + json::serialize(encodePool(pool)) + "\n");
    std::vector<TablesPart> parts;
    std::string content;
    const auto cut = [&] {
        if (!content.empty())
            parts.push_back({partHash(content), content});
        content.clear();
    };
    for (const auto &row : rows) {
        if (row.size() > maxPartSize)
            return badTables("a row exceeds " + std::to_string(maxPartSize) + " bytes");
        if (content.size() + row.size() > maxPartSize)
            cut();
        content += row;
        if (XXH3_64bits(row.data(), row.size()) % rowsPerPart == 0)
            cut();
    }
    cut();
    return parts;
}

Result<Tables> joinTables(const TablesHead &head, std::span<const TablesPart> parts)
{
    if (parts.size() != head.parts.size())
        return badTables("a part is missing");
    std::string routes;
    std::string pools;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (partHash(parts[i].content) != head.parts[i])
            return badTables("the content of part " + head.parts[i] + " differs from its hash");
        std::string_view rest = parts[i].content;
        for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
            const auto row = rest.substr(0, end);
            const bool isRoute = row.starts_with("route ");
            auto &target = isRoute ? routes : pools;
            target += target.empty() ? "" : ",";
            target += row.substr(std::min<std::size_t>(isRoute ? 6 : 5, row.size()));
            rest.remove_prefix(end + 1);
        }
    }
    auto decoding = decodeTables("{\"routes\":[" + routes + "],\"pools\":[" + pools + "]}");
    if (!decoding.problems.empty())
        return badTables(decoding.problems.front().path + ": " + decoding.problems.front().message);
    decoding.tables.version = head.version;
    return std::move(decoding.tables);
}

std::string encodeHead(const TablesHead &head)
{
    return json::serialize(json::object{{"version", head.version},
                                        {"editId", head.editId},
                                        {"parts", json::value_from(head.parts)}});
}

Result<TablesHead> decodeHead(std::string_view text)
{
    json::error_code error;
    const auto value = json::parse({text.data(), text.size()}, error);
    if (error)
        return badTables("head: " + error.message());
    Problems problems;
    JsonReader reader(value, "head", problems);
    TablesHead head;
    reader.require("version");
    readNumber(reader, "version", head.version);
    requiredText(reader, "editId", head.editId);
    reader.require("parts");
    reader.texts("parts", head.parts);
    if (!problems.empty())
        return badTables(problems.front().path + ": " + problems.front().message);
    return head;
}

} // namespace shallotwalk
