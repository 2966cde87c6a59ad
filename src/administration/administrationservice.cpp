#include "administration/administrationservice.h"

#include "configuration/configuration.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <openssl/crypto.h>

#include <charconv>

namespace shallotwalk {

namespace json = boost::json;

namespace {

constexpr auto localTimeout = std::chrono::seconds(2);
// The store may need its whole call timeout, and a lost answer is read back.
constexpr auto applyTimeout = std::chrono::seconds(15);
constexpr std::string_view bearerPrefix = "Bearer ";

HttpResponse jsonResponse(unsigned status, json::value body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body) + "\n";
    return response;
}

HttpResponse errorResponse(unsigned status, std::string_view error, std::string_view message)
{
    return jsonResponse(status, json::object{{"error", error}, {"message", message}});
}

HttpResponse noAnswer()
{
    return errorResponse(503, "unavailable", "a part of the proxy did not answer");
}

json::value tablesValue(const Tables &tables)
{
    return json::parse(encodeTables(tables));
}

json::value tablesDocument(const Tables &tables)
{
    return json::object{{"version", tables.version}, {"tables", tablesValue(tables)}};
}

std::optional<ConfigurationVersion> parseVersion(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    ConfigurationVersion version = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), version);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return version;
}

HttpResponse encodeOutcome(const ApplyOutcome &outcome)
{
    switch (outcome.status) {
    case ApplyStatus::Accepted:
        return jsonResponse(200, json::object{{"version", outcome.version}});
    case ApplyStatus::Conflict: {
        json::object body{{"error", "conflict"},
                          {"message", "another version is in force"},
                          {"version", outcome.version}};
        if (outcome.current)
            body["tables"] = tablesValue(*outcome.current);
        return jsonResponse(409, std::move(body));
    }
    case ApplyStatus::Invalid: {
        json::array problems;
        for (const auto &problem : outcome.problems)
            problems.push_back(json::object{{"path", problem.path}, {"message", problem.message}});
        return jsonResponse(422, json::object{{"error", "invalid"},
                                              {"message", "the tables break rules"},
                                              {"problems", std::move(problems)}});
    }
    case ApplyStatus::Unknown:
        break;
    }
    return errorResponse(504, "unknown",
                         "the store did not answer; the change may still take effect");
}

} // namespace

AdministrationService::AdministrationService(AdministrationContext context)
    : context_(std::move(context))
{
}

void AdministrationService::serve(const HttpRequest &request, std::string_view /*requestId*/,
                                  caf::io::broker &connection, Respond respond) const
{
    const std::string_view path =
        std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == "/healthz" || path == "/readyz" || path == "/metrics")
        serveOpen(request, path, connection, std::move(respond));
    else if (!isAuthorised(request))
        respond(errorResponse(401, "unauthorised",
                              "the operators' key is missing or wrong; send it as a bearer token"));
    else
        serveAuthorised(request, path, connection, std::move(respond));
}

bool AdministrationService::isAuthorised(const HttpRequest &request) const
{
    const auto header = request.header("Authorization");
    if (!header || !header->starts_with(bearerPrefix))
        return false;
    const auto key = header->substr(bearerPrefix.size());
    return key.size() == context_.operatorsKey.size()
           && CRYPTO_memcmp(key.data(), context_.operatorsKey.data(), key.size()) == 0;
}

void AdministrationService::serveOpen(const HttpRequest &request, std::string_view path,
                                      caf::io::broker &connection, Respond respond) const
{
    if (request.method != "GET") {
        respond(errorResponse(405, "method", "use GET"));
    } else if (path == "/healthz") {
        respond(jsonResponse(200, json::object{{"healthy", true}}));
    } else if (path == "/readyz") {
        connection.request(context_.lifecycle, localTimeout, ReadinessRequest{})
            .then(
                [respond](const Readiness &readiness) {
                    respond(jsonResponse(
                        readiness.ready ? 200 : 503,
                        json::object{{"ready", readiness.ready}, {"reason", readiness.reason}}));
                },
                [respond](const caf::error &) { respond(noAnswer()); });
    } else {
        collectMetrics(context_.metrics, connection, [respond](HttpResponse response) {
            respond(response.body.empty() ? noAnswer() : std::move(response));
        });
    }
}

void AdministrationService::serveAuthorised(const HttpRequest &request, std::string_view path,
                                            caf::io::broker &connection, Respond respond) const
{
    if (path == "/v1/tables" && request.method == "GET") {
        readTables(connection, std::move(respond));
    } else if (path == "/v1/tables" && request.method == "PUT") {
        applyTables(request, connection, std::move(respond));
    } else if (path == "/v1/state" && request.method == "GET") {
        connection.request(context_.root, localTimeout, StateDumpRequest{})
            .then([respond](const StateDump &dump) { respond(jsonResponse(200, dump.state)); },
                  [respond](const caf::error &) { respond(noAnswer()); });
    } else if (path == "/v1/drain" && request.method == "POST") {
        connection.send(context_.lifecycle, ShutdownRequest{});
        respond(jsonResponse(202, json::object{{"draining", true}}));
    } else {
        respond(errorResponse(404, "not_found", "unknown path or method; see docs/api.md"));
    }
}

void AdministrationService::readTables(caf::io::broker &connection, Respond respond) const
{
    connection.request(context_.configuration, localTimeout, CurrentTablesRequest{})
        .then(
            [respond](const TablesChanged &message) {
                respond(jsonResponse(200, tablesDocument(*message.tables)));
            },
            [respond](const caf::error &) { respond(noAnswer()); });
}

void AdministrationService::applyTables(const HttpRequest &request, caf::io::broker &connection,
                                        Respond respond) const
{
    const auto version = parseVersion(request.header("If-Match").value_or(""));
    if (!version) {
        respond(errorResponse(428, "version_required",
                              "send the version that the change was made from as If-Match"));
        return;
    }
    auto decoding = decodeTables(request.body);
    if (!decoding.problems.empty()) {
        ApplyOutcome invalid;
        invalid.status = ApplyStatus::Invalid;
        invalid.problems = std::move(decoding.problems);
        respond(encodeOutcome(invalid));
        return;
    }
    connection
        .request(context_.configuration, applyTimeout,
                 ApplyTables{*version, std::move(decoding.tables)})
        .then([respond](const ApplyOutcome &outcome) { respond(encodeOutcome(outcome)); },
              [respond](const caf::error &) { respond(encodeOutcome(ApplyOutcome{})); });
}

} // namespace shallotwalk
