#include "wire/statementcodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

#include <charconv>

namespace shallotwalk {

namespace {

constexpr auto defaultTimeout = std::chrono::seconds(30);
constexpr std::int64_t longestTimeoutMs = 3600000;
constexpr std::size_t longestName = 200;
constexpr std::size_t longestRequestKey = 200;
constexpr std::size_t pathSegmentCount = 4;

auto badRequest(std::string message)
{
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, std::move(message)});
}

std::optional<std::string_view> findCookie(std::string_view header, std::string_view name)
{
    while (!header.empty()) {
        const auto end = header.find(';');
        auto entry = header.substr(0, end);
        entry.remove_prefix(std::min(entry.find_first_not_of(' '), entry.size()));
        if (entry.starts_with(name) && entry.substr(name.size()).starts_with('='))
            return entry.substr(name.size() + 1);
        if (end == std::string_view::npos)
            break;
        header.remove_prefix(end + 1);
    }
    return std::nullopt;
}

Result<std::optional<std::string>> decodeParameter(const boost::json::value &value)
{
    if (value.is_null())
        return std::optional<std::string>();
    if (const auto *text = value.if_string())
        return std::optional<std::string>(std::string(*text));
    if (value.is_bool() || value.is_number())
        return std::optional<std::string>(boost::json::serialize(value));
    return badRequest("\"parameters\" may hold strings, numbers, booleans and nulls only");
}

Result<void> decodeField(std::string_view key, const boost::json::value &value,
                         StatementRequest &request)
{
    if (key == "parameters") {
        const auto *list = value.if_array();
        if (list == nullptr)
            return badRequest("\"parameters\" must be an array");
        for (const auto &entry : *list) {
            BOOST_LEAF_AUTO(parameter, decodeParameter(entry));
            request.parameters.push_back(std::move(parameter));
        }
        return {};
    }
    const auto *text = value.if_string();
    if (text == nullptr)
        return badRequest("\"" + std::string(key) + "\" must be a string");
    if (key == "sql") {
        request.sql = *text;
    } else if (key == "transaction") {
        request.transaction = std::string(*text);
    } else if (key == "access" && (*text == "read" || *text == "write")) {
        request.access = *text == "read" ? Access::Read : Access::Write;
    } else if (key == "access") {
        return badRequest("\"access\" must be \"read\" or \"write\"");
    } else {
        return badRequest("unknown key \"" + std::string(key)
                          + "\"; known are sql, parameters, access, transaction");
    }
    return {};
}

Result<void> decodeBody(std::string_view body, StatementRequest &request)
{
    if (body.empty())
        return {};
    boost::json::error_code error;
    const auto value = boost::json::parse({body.data(), body.size()}, error);
    if (error)
        return badRequest("malformed JSON: " + error.message());
    const auto *object = value.if_object();
    if (object == nullptr)
        return badRequest("the body must be a JSON object");
    for (const auto &field : *object)
        BOOST_LEAF_CHECK(
            decodeField({field.key().data(), field.key().size()}, field.value(), request));
    return {};
}

Result<Operation> decodeOperation(std::string_view action)
{
    if (action == "statement")
        return Operation::Statement;
    if (action == "transaction")
        return Operation::Begin;
    if (action == "commit")
        return Operation::Commit;
    if (action == "rollback")
        return Operation::Rollback;
    return badRequest("unknown action \"" + std::string(action)
                      + "\"; known are statement, transaction, commit, rollback");
}

Result<void> decodeHeaders(const HttpRequest &http, StatementRequest &request, TimePoint now)
{
    request.caller = http.header("Shallotwalk-Caller").value_or("");
    request.requestId = http.header("Shallotwalk-Request-Id").value_or("");
    if (request.caller.empty() || request.caller.size() > longestName)
        return badRequest("the header Shallotwalk-Caller must name the caller");
    if (request.requestId.size() > longestName)
        return badRequest("the header Shallotwalk-Request-Id is longer than 200 bytes");
    if (const auto key = http.header("Idempotency-Key")) {
        if (key->empty() || key->size() > longestRequestKey)
            return badRequest("the header Idempotency-Key must have 1 to 200 bytes");
        request.requestKey = std::string(*key);
    }
    request.deadline = now + defaultTimeout;
    if (const auto text = http.header("Shallotwalk-Timeout-Ms")) {
        std::int64_t timeout = 0;
        const auto *end = text->data() + text->size();
        const auto result = std::from_chars(text->data(), end, timeout);
        if (result.ptr != end || timeout < 1 || timeout > longestTimeoutMs)
            return badRequest("the header Shallotwalk-Timeout-Ms must be 1 to 3600000");
        request.deadline = now + std::chrono::milliseconds(timeout);
    }
    return {};
}

Result<void> checkFields(const StatementRequest &request)
{
    const bool ends =
        request.operation == Operation::Commit || request.operation == Operation::Rollback;
    if (request.operation == Operation::Statement && request.sql.empty())
        return badRequest("\"sql\" is missing");
    if (request.operation != Operation::Statement && !request.sql.empty())
        return badRequest("\"sql\" is allowed for the action statement only");
    if (ends && !request.transaction)
        return badRequest("\"transaction\" is missing");
    if (request.operation == Operation::Begin && request.transaction)
        return badRequest("\"transaction\" is not allowed for the action transaction");
    return {};
}

boost::json::array encodeRow(const std::vector<std::optional<std::string>> &row)
{
    boost::json::array values;
    values.reserve(row.size());
    for (const auto &value : row) {
        if (value)
            values.emplace_back(*value);
        else
            values.emplace_back(nullptr);
    }
    return values;
}

boost::json::object encodeResult(const StatementResult &result)
{
    boost::json::object body;
    body["verdict"] = toString(Verdict::Ran);
    body["columns"] = boost::json::array(result.columns.begin(), result.columns.end());
    boost::json::array rows;
    rows.reserve(result.rows.size());
    for (const auto &row : result.rows)
        rows.push_back(encodeRow(row));
    body["rows"] = std::move(rows);
    body["affected_rows"] = result.affectedRows;
    body["server"] = result.server;
    body["from_replica"] = result.fromReplica;
    body["replayed"] = result.replayed;
    if (result.transaction)
        body["transaction"] = *result.transaction;
    return body;
}

unsigned statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
    case ErrorCode::RequestKeyExpired:
    case ErrorCode::SessionStateInvalid:
    case ErrorCode::StatementError:
        return 400;
    case ErrorCode::NoRoute:
    case ErrorCode::TransactionUnknown:
        return 404;
    case ErrorCode::SessionStateLost:
    case ErrorCode::TransactionAborted:
        return 409;
    case ErrorCode::RequestKeyConflict:
        return 422;
    case ErrorCode::RequestKeyRequired:
        return 428;
    case ErrorCode::QueueFull:
        return 429;
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::Unconfirmed:
        return 504;
    case ErrorCode::Internal:
        return 500;
    default:
        return 503;
    }
}

void setSessionCookie(HttpResponse &response, const SessionState &state,
                      const SessionCodec &sessions)
{
    response.headers.emplace_back("Set-Cookie", std::string(sessionCookieName) + "="
                                                    + sessions.encode(state)
                                                    + "; Path=/; HttpOnly; SameSite=Strict");
}

} // namespace

Result<StatementRequest> decodeStatementRequest(const HttpRequest &request,
                                                const SessionCodec &sessions, TimePoint now)
{
    const auto path = pathSegments(request.target);
    if (path.size() != pathSegmentCount || path[0] != "v1")
        return badRequest("unknown path; expected /v1/<service>/<database>/<action>");
    if (request.method != "POST")
        return badRequest("unknown method \"" + request.method + "\"; expected POST");
    StatementRequest statement;
    statement.service = path[1];
    statement.database = path[2];
    BOOST_LEAF_ASSIGN(statement.operation, decodeOperation(path[3]));
    BOOST_LEAF_CHECK(decodeHeaders(request, statement, now));
    BOOST_LEAF_CHECK(decodeBody(request.body, statement));
    BOOST_LEAF_CHECK(checkFields(statement));
    if (const auto cookies = request.header("Cookie")) {
        if (const auto value = findCookie(*cookies, sessionCookieName)) {
            BOOST_LEAF_ASSIGN(statement.session, sessions.decode(*value));
        }
    }
    return statement;
}

HttpResponse encodeStatementReply(const StatementRequest &request, const StatementReply &reply,
                                  const SessionCodec &sessions)
{
    auto session = request.session;
    if (reply.resetPosition)
        session.reset(request.pool, *reply.resetPosition);
    if (const auto *failure = std::get_if<Failure>(&reply.outcome)) {
        auto response = encodeFailure(*failure, request.requestId);
        if (reply.resetPosition)
            setSessionCookie(response, session, sessions);
        return response;
    }
    const auto &result = std::get<StatementResult>(reply.outcome);
    if (result.position != Position{})
        session.observe(request.pool, result.position);
    else
        session.touch(request.pool);
    auto body = encodeResult(result);
    body["request_id"] = request.requestId;
    HttpResponse response;
    response.body = boost::json::serialize(body);
    if (!session.empty())
        setSessionCookie(response, session, sessions);
    return response;
}

HttpResponse encodeFailure(const Failure &failure, std::string_view requestId)
{
    HttpResponse response;
    response.status = statusOf(failure.code);
    response.body =
        boost::json::serialize(boost::json::object{{"error", toString(failure.code)},
                                                   {"verdict", toString(failure.verdict)},
                                                   {"message", failure.message},
                                                   {"request_id", requestId}});
    // A refusal for lack of room is worth a retry soon; the caller adds its own jitter.
    if (response.status == 429 || response.status == 503)
        response.headers.emplace_back("Retry-After", "1");
    // Without this the caller would send the refused cookie again with each request.
    if (failure.code == ErrorCode::SessionStateInvalid) {
        response.headers.emplace_back("Set-Cookie",
                                      std::string(sessionCookieName) + "=; Path=/; Max-Age=0");
    }
    return response;
}

} // namespace shallotwalk
