#include "databases/requestexecutor.h"

#include "databases/schema.h"
#include "databases/statementtext.h"

#include "wire/storedresponse.h"

#include <boost/leaf/handle_errors.hpp>

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

using Values = std::vector<std::optional<std::string>>;

constexpr std::int64_t keyLifetimeSeconds = std::int64_t{24} * 3600;
/// SQLSTATE of a write on a server in recovery.
constexpr std::string_view readOnlyTransaction = "25006";
/// Time for a rollback after a statement failed at its deadline.
constexpr auto cleanUpTime = std::chrono::milliseconds(500);

leaf::error_id fail(ErrorCode code, Verdict verdict, std::string message)
{
    return leaf::new_error(Failure{code, verdict, std::move(message)});
}

/// Keys of different callers must not meet, since a replayed response shows its rows.
std::string storedKey(const StatementRequest &request)
{
    return std::to_string(request.caller.size()) + ':' + request.caller + ':' + *request.requestKey;
}

/// Gives a Failure of \a function the verdict that its place in the transaction implies. It changes
/// the error object in place: LEAF 1.81 replaces a new error that a handler of try_handle_some()
/// makes by the old one.
template<class T, class Function>
Result<T> withVerdict(Verdict verdict, Function function)
{
    return leaf::try_handle_some([&]() -> Result<T> { return function(); },
                                 [&](Failure &failure, const leaf::error_info &error) -> Result<T> {
                                     failure.verdict = verdict;
                                     return error.error();
                                 });
}

void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

std::string bodyHash(std::string_view sql, SqlParameters parameters)
{
    std::string text;
    appendField(text, sql);
    for (const auto &parameter : parameters) {
        if (parameter)
            appendField(text, *parameter);
        else
            text += "null:";
    }
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

Result<void> checkRequestKey(std::string_view key, std::int64_t unixTime)
{
    std::int64_t seconds = 0;
    const auto *const last = key.data() + key.size();
    const auto [end, error] = std::from_chars(key.data(), last, seconds);
    if (error != std::errc() || seconds < 0 || key.starts_with('-') || end == last || *end != '-'
        || end + 1 == last) {
        return fail(ErrorCode::BadRequest, Verdict::DidNotRun,
                    "request key must be <unix seconds>-<text>");
    }
    if (seconds > unixTime && seconds - unixTime > keyLifetimeSeconds) {
        return fail(ErrorCode::BadRequest, Verdict::DidNotRun,
                    "request key is more than 24 h in the future");
    }
    if (unixTime - seconds > keyLifetimeSeconds) {
        return fail(ErrorCode::RequestKeyExpired, Verdict::MayHaveRun,
                    "request key is older than 24 h");
    }
    return {};
}

RequestExecutor::RequestExecutor(SqlConnection &connection, std::string server)
    : connection_(connection)
    , server_(std::move(server))
{
}

StatementReply RequestExecutor::run(const StatementRequest &request, std::int64_t unixTime)
{
    StatementReply reply;
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(result, dispatch(request, unixTime));
            reply.outcome = std::move(result);
            return {};
        },
        [&](Failure &failure, const SqlState *state) {
            if (request.access == Access::Write && state && state->code == readOnlyTransaction)
                failure.code = ErrorCode::NoPrimary;
            reply.outcome = failure;
        },
        [&] {
            reply.outcome = Failure{ErrorCode::Internal, Verdict::MayHaveRun, "unknown error"};
        });
    // A caller's statement must not leave a transaction behind that the executor didn't begin.
    if (connection_.isUsable() && connection_.inTransaction() != hasOpenTransaction())
        cleanUp(request.deadline);
    if (!connection_.isUsable())
        transaction_ = Transaction::None;
    return reply;
}

Result<StatementResult> RequestExecutor::dispatch(const StatementRequest &request,
                                                  std::int64_t unixTime)
{
    if (request.operation == Operation::Statement && controlsSession(request.sql)) {
        return fail(ErrorCode::BadRequest, Verdict::DidNotRun,
                    "statements that control transactions or sessions are not accepted");
    }
    switch (request.operation) {
    case Operation::Begin:
        return begin(request);
    case Operation::Commit:
        return commit(request);
    case Operation::Rollback:
        return rollback(request);
    case Operation::Statement:
        break;
    }
    if (request.transaction)
        return statementInTransaction(request);
    if (hasOpenTransaction()) {
        return fail(ErrorCode::Internal, Verdict::DidNotRun,
                    "connection is reserved for a transaction");
    }
    if (request.access == Access::Read)
        return read(request);
    return request.requestKey ? writeOnce(request, unixTime) : write(request);
}

Result<StatementResult> RequestExecutor::read(const StatementRequest &request)
{
    BOOST_LEAF_CHECK(setReadOnly(true, request.deadline));
    return leaf::try_handle_some(
        [&]() -> Result<StatementResult> {
            BOOST_LEAF_AUTO(result, execute(request.sql, request.parameters, request.deadline));
            return convert(std::move(result));
        },
        [](Failure &failure, const leaf::error_info &error) -> Result<StatementResult> {
            // A read has no effect, whatever became of it, for example a result over the limit.
            if (failure.code == ErrorCode::StatementError)
                failure.verdict = Verdict::DidNotRun;
            return error.error();
        });
}

Result<StatementResult> RequestExecutor::write(const StatementRequest &request)
{
    BOOST_LEAF_CHECK(setReadOnly(false, request.deadline));
    BOOST_LEAF_AUTO(result, execute(request.sql, request.parameters, request.deadline));
    return withPosition(convert(std::move(result)), request.deadline);
}

Result<StatementResult> RequestExecutor::writeOnce(const StatementRequest &request,
                                                   std::int64_t unixTime)
{
    BOOST_LEAF_CHECK(checkRequestKey(*request.requestKey, unixTime));
    const auto key = storedKey(request);
    BOOST_LEAF_CHECK(beginBlock(Access::Write, request.deadline));
    const Values row{key, bodyHash(request.sql, request.parameters), std::to_string(unixTime)};
    BOOST_LEAF_AUTO(inserted, executeUncommitted(sql::insertRequest, row, request.deadline));
    if (inserted.affectedRows == 0)
        return replay(request, key);
    return runNew(request, key);
}

Result<StatementResult> RequestExecutor::runNew(const StatementRequest &request,
                                                const std::string &key)
{
    BOOST_LEAF_AUTO(rows, executeUncommitted(request.sql, request.parameters, request.deadline));
    auto result = convert(std::move(rows));
    const Values response{encodeStoredResponse(result), key};
    BOOST_LEAF_AUTO(stored, executeUncommitted(sql::storeResponse, response, request.deadline));
    if (stored.affectedRows != 1) {
        return fail(ErrorCode::Internal, Verdict::DidNotRun,
                    "the statement removed its own request key");
    }
    BOOST_LEAF_CHECK(commitBlock(request.deadline));
    return withPosition(std::move(result), request.deadline);
}

Result<StatementResult> RequestExecutor::replay(const StatementRequest &request,
                                                const std::string &key)
{
    // The conflicting row is committed, so whatever fails from here on, the key's request has run.
    const Values parameters{key};
    BOOST_LEAF_AUTO(found, withVerdict<SqlResult>(Verdict::MayHaveRun, [&] {
                        return execute(sql::readRequest, parameters, request.deadline);
                    }));
    if (found.rows.size() != 1 || found.rows[0].size() != 2) {
        return fail(ErrorCode::Internal, Verdict::MayHaveRun,
                    "the row of the request key can't be read");
    }
    const auto &row = found.rows[0];
    if (row[0] != bodyHash(request.sql, request.parameters)) {
        return fail(ErrorCode::RequestKeyConflict, Verdict::DidNotRun,
                    "the request key belongs to another statement");
    }
    cleanUp(request.deadline);
    BOOST_LEAF_AUTO(result, decodeStoredResponse(row[1].value_or("")));
    result.replayed = true;
    result.server = server_;
    // The position of the first run isn't stored; the present one covers it.
    return withPosition(std::move(result), request.deadline);
}

Result<StatementResult> RequestExecutor::begin(const StatementRequest &request)
{
    if (hasOpenTransaction()) {
        return fail(ErrorCode::Internal, Verdict::DidNotRun,
                    "connection is reserved for another transaction");
    }
    BOOST_LEAF_CHECK(beginBlock(request.access, request.deadline));
    transaction_ = request.access == Access::Write ? Transaction::Write : Transaction::Read;
    return convert({});
}

Result<StatementResult> RequestExecutor::statementInTransaction(const StatementRequest &request)
{
    if (!hasOpenTransaction()) {
        return fail(ErrorCode::TransactionAborted, Verdict::DidNotRun,
                    "the transaction was rolled back");
    }
    auto result = executeUncommitted(request.sql, request.parameters, request.deadline);
    if (!result) {
        transaction_ = Transaction::None;
        return result.error();
    }
    return convert(std::move(result.value()));
}

Result<StatementResult> RequestExecutor::commit(const StatementRequest &request)
{
    if (!hasOpenTransaction()) {
        return fail(ErrorCode::TransactionAborted, Verdict::DidNotRun,
                    "the transaction was rolled back");
    }
    const bool isWrite = std::exchange(transaction_, Transaction::None) == Transaction::Write;
    BOOST_LEAF_CHECK(commitBlock(request.deadline));
    return isWrite ? withPosition(convert({}), request.deadline)
                   : Result<StatementResult>(convert({}));
}

Result<StatementResult> RequestExecutor::rollback(const StatementRequest &request)
{
    transaction_ = Transaction::None;
    cleanUp(request.deadline);
    return convert({});
}

Result<SqlResult> RequestExecutor::execute(std::string_view sql, SqlParameters parameters,
                                           TimePoint deadline)
{
    return connection_.execute(sql, parameters, deadline);
}

Result<SqlResult> RequestExecutor::executeUncommitted(std::string_view sql,
                                                      SqlParameters parameters, TimePoint deadline)
{
    // Whatever happens before COMMIT is sent, the server rolls the transaction back.
    return withVerdict<SqlResult>(Verdict::DidNotRun,
                                  [&] { return execute(sql, parameters, deadline); });
}

Result<void> RequestExecutor::setReadOnly(bool readOnly, TimePoint deadline)
{
    if (sessionReadOnly_ == readOnly)
        return {};
    BOOST_LEAF_CHECK(
        executeUncommitted(readOnly ? sql::setReadOnly : sql::setReadWrite, {}, deadline));
    sessionReadOnly_ = readOnly;
    return {};
}

Result<void> RequestExecutor::beginBlock(Access access, TimePoint deadline)
{
    // A server in recovery refuses READ WRITE with the general code "feature not supported".
    return leaf::try_handle_some(
        [&]() -> Result<void> {
            const auto text = access == Access::Write ? sql::beginWrite : sql::beginRead;
            BOOST_LEAF_CHECK(executeUncommitted(text, {}, deadline));
            return {};
        },
        [&](Failure &failure, const leaf::error_info &error) -> Result<void> {
            if (access == Access::Write && failure.code == ErrorCode::StatementError)
                failure.code = ErrorCode::NoPrimary;
            return error.error();
        });
}

Result<void> RequestExecutor::commitBlock(TimePoint deadline)
{
    BOOST_LEAF_AUTO(result, execute(sql::commit, {}, deadline));
    // PostgreSQL answers COMMIT in a failed transaction with ROLLBACK instead of an error.
    if (result.command != "COMMIT") {
        return fail(ErrorCode::TransactionAborted, Verdict::DidNotRun,
                    "the transaction was rolled back");
    }
    return {};
}

Result<Position> RequestExecutor::position(TimePoint deadline)
{
    BOOST_LEAF_AUTO(result, execute(sql::currentPosition, {}, deadline));
    if (result.rows.size() == 1 && result.rows[0].size() == 2) {
        const auto term = termFromWalFileName(result.rows[0][0].value_or(""));
        const auto lsn = lsnFromText(result.rows[0][1].value_or(""));
        if (term && lsn)
            return Position{*term, *lsn};
    }
    return fail(ErrorCode::Internal, Verdict::MayHaveRun, "the log position can't be read");
}

Result<StatementResult> RequestExecutor::withPosition(StatementResult result, TimePoint deadline)
{
    // The write has committed here, but without its position nobody can tell whether a replica
    // holds it, so that a change of primary may still lose it.
    return leaf::try_handle_some(
        [&]() -> Result<StatementResult> {
            BOOST_LEAF_ASSIGN(result.position, position(deadline));
            return std::move(result);
        },
        [](Failure &failure, const leaf::error_info &error) -> Result<StatementResult> {
            failure = {ErrorCode::Unconfirmed, Verdict::MayHaveRun,
                       "the position of the write is unknown: " + failure.message};
            return error.error();
        });
}

StatementResult RequestExecutor::convert(SqlResult result) const
{
    StatementResult converted;
    converted.columns = std::move(result.columns);
    converted.rows = std::move(result.rows);
    converted.affectedRows = result.affectedRows;
    converted.server = server_;
    return converted;
}

void RequestExecutor::cleanUp(TimePoint deadline)
{
    transaction_ = Transaction::None;
    if (!connection_.isUsable() || !connection_.inTransaction())
        return;
    const bool done = leaf::try_handle_all(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(execute(sql::rollback, {}, deadline + cleanUpTime));
            return !connection_.inTransaction();
        },
        [] { return false; });
    if (!done)
        connection_.close();
}

} // namespace shallotwalk
