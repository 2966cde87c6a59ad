#include "wire/pgconnection.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <climits>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

/// PostgreSQL cuts application names to this length, which could cut the epoch off.
// Counted for each value and row beside its bytes, for its length in a frame.
constexpr std::size_t valueOverhead = 8;
constexpr std::size_t longestApplicationName = 63;

void ignoreNotice(void *, const char *) {}

/// \a message of libpq on one line.
std::string singleLine(const char *message)
{
    std::string text = message ? message : "";
    while (!text.empty() && (text.back() == '\n' || text.back() == ' '))
        text.pop_back();
    std::replace_if(
        text.begin(), text.end(), [](char letter) { return letter == '\n' || letter == '\t'; },
        ' ');
    return text;
}

std::string field(const PGresult *result, int code)
{
    const char *value = PQresultErrorField(result, code);
    return value ? value : "";
}

/// Poll timeout until \a deadline in ms, rounded up so that a wait never ends early.
int pollTimeout(TimePoint now, TimePoint deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, INT_MAX));
}

PGconn *startConnect(const SqlTarget &target)
{
    const auto port = std::to_string(target.port);
    // Fixed formats, because the server monitor parses timestamps. The interval in ms (PostgreSQL
    // 14) lets the server end a statement whose connection was closed after a timeout; otherwise it
    // would keep its place within the connection limit.
    std::string options =
        "-c datestyle=ISO -c timezone=UTC -c client_connection_check_interval=1000";
    if (target.readOnlyByDefault)
        options += " -c default_transaction_read_only=on";
    const std::array<const char *, 9> keywords = {
        "hostaddr",        "port",    "dbname",     "user",  "application_name",
        "client_encoding", "options", "gssencmode", nullptr,
    };
    const std::array<const char *, 9> values = {
        target.host.c_str(),
        port.c_str(),
        target.databaseName.c_str(),
        target.user.c_str(),
        target.applicationName.c_str(),
        "UTF8",
        options.c_str(),
        "disable",
        nullptr,
    };
    return PQconnectStartParams(keywords.data(), values.data(), 0);
}

/// True if the outcome of a commit stays open in spite of the server's answer: the session was
/// ended while it may have waited for replicas after the local commit, or the server says so.
bool leavesOutcomeOpen(std::string_view sqlState)
{
    return sqlState.empty() || sqlState.starts_with("57P") || sqlState.starts_with("08")
           || sqlState == "40003";
}

std::optional<std::string> valueAt(const PGresult *result, int row, int column)
{
    if (PQgetisnull(result, row, column) != 0)
        return std::nullopt;
    return std::string(PQgetvalue(result, row, column),
                       static_cast<std::size_t>(PQgetlength(result, row, column)));
}

/// Reads the command tag and its count.
void readCommand(PGresult *result, SqlResult &converted)
{
    const std::string_view affected = PQcmdTuples(result);
    std::from_chars(affected.data(), affected.data() + affected.size(), converted.affectedRows);
    auto &command = converted.command;
    command = PQcmdStatus(result);
    command.erase(std::min(command.find_first_of("0123456789"), command.size()));
    while (command.ends_with(' '))
        command.pop_back();
}

} // namespace

std::string applicationName(std::string_view pool, std::uint64_t epoch)
{
    return "shallotwalk/" + std::string(pool) + "/" + std::to_string(epoch);
}

PgConnection::PgConnection(PGconn *handle, const Clock &clock, std::size_t resultLimit,
                           std::shared_ptr<const Interrupt> interrupt)
    : handle_(handle)
    , clock_(clock)
    , resultLimit_(resultLimit)
    , interrupt_(std::move(interrupt))
{
}

Result<std::unique_ptr<SqlConnection>>
PgConnection::connect(const SqlTarget &target, const Clock &clock, TimePoint deadline,
                      std::shared_ptr<const Interrupt> interrupt)
{
    if (target.applicationName.size() > longestApplicationName) {
        return leaf::new_error(Failure{ErrorCode::Internal, Verdict::DidNotRun,
                                       "application name is longer than 63 bytes"});
    }
    std::unique_ptr<PgConnection> connection(
        new PgConnection(startConnect(target), clock, target.resultBytes, std::move(interrupt)));
    BOOST_LEAF_CHECK(connection->finishConnect(deadline));
    return std::unique_ptr<SqlConnection>(std::move(connection));
}

Result<void> PgConnection::finishConnect(TimePoint deadline)
{
    auto status = PGRES_POLLING_WRITING;
    if (!handle_ || PQstatus(handle_.get()) == CONNECTION_BAD)
        return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "connect failed");
    PQsetNoticeProcessor(handle_.get(), ignoreNotice, nullptr);
    while (status != PGRES_POLLING_OK) {
        if (status == PGRES_POLLING_FAILED)
            return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "connect failed");
        const auto wait = waitFor(status == PGRES_POLLING_READING ? POLLIN : POLLOUT, deadline);
        if (wait == Wait::TimedOut)
            return abandon(ErrorCode::DeadlineExceeded, Verdict::DidNotRun, "connect timed out");
        if (wait == Wait::Failed)
            return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "connect failed");
        status = PQconnectPoll(handle_.get());
    }
    if (PQsetnonblocking(handle_.get(), 1) != 0)
        return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "connect failed");
    return {};
}

std::array<pollfd, 2> PgConnection::pollEntries(short events) const
{
    return {{{PQsocket(handle_.get()), events, 0},
             {interrupt_ ? interrupt_->descriptor() : -1, POLLIN, 0}}};
}

PgConnection::Wait PgConnection::waitFor(short events, TimePoint deadline) const
{
    auto entries = pollEntries(events);
    if (entries[0].fd < 0)
        return Wait::Failed;
    for (;;) {
        const auto now = clock_.now();
        const int ready = poll(entries.data(), entries.size(), pollTimeout(now, deadline));
        if (ready > 0)
            return entries[1].revents != 0 ? Wait::Failed : Wait::Ready;
        if (ready < 0 && errno != EINTR)
            return Wait::Failed;
        if (now >= deadline)
            return Wait::TimedOut;
    }
}

leaf::error_id PgConnection::abandon(ErrorCode code, Verdict verdict, std::string_view what)
{
    std::string message(what);
    if (const auto detail = handle_ ? singleLine(PQerrorMessage(handle_.get())) : std::string();
        !detail.empty())
        message += ": " + detail;
    close();
    return leaf::new_error(Failure{code, verdict, std::move(message)});
}

bool PgConnection::inTransaction() const
{
    return handle_ && PQtransactionStatus(handle_.get()) != PQTRANS_IDLE;
}

Result<SqlResult> PgConnection::execute(std::string_view sql, SqlParameters parameters,
                                        TimePoint deadline)
{
    BOOST_LEAF_CHECK(checkBeforeSending());
    if (clock_.now() >= deadline) {
        return leaf::new_error(Failure{ErrorCode::DeadlineExceeded, Verdict::DidNotRun,
                                       "deadline passed before the statement was sent"});
    }
    BOOST_LEAF_CHECK(send(sql, parameters));
    BOOST_LEAF_CHECK(flush(deadline));
    return collect(deadline);
}

Result<void> PgConnection::checkBeforeSending()
{
    if (!handle_) {
        return leaf::new_error(
            Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun, "connection is closed"});
    }
    // Input on an idle connection is usually the server's farewell. Reading it here shows the loss
    // while nothing has been sent.
    auto entries = pollEntries(POLLIN);
    const bool ready = poll(entries.data(), entries.size(), 0) > 0;
    if (ready && entries[1].revents != 0)
        return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "interrupted");
    if (ready && PQconsumeInput(handle_.get()) == 0)
        return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "connection lost");
    if (PQstatus(handle_.get()) != CONNECTION_OK)
        return abandon(ErrorCode::ConnectionLost, Verdict::DidNotRun, "connection lost");
    return {};
}

Result<void> PgConnection::send(std::string_view sql, SqlParameters parameters)
{
    if (parameters.size() > static_cast<std::size_t>(PQ_QUERY_PARAM_MAX_LIMIT)
        || sql.find('\0') != std::string_view::npos) {
        return leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                       "too many parameters or a zero byte in the statement"});
    }
    std::vector<const char *> values;
    values.reserve(parameters.size());
    for (const auto &parameter : parameters) {
        if (parameter && parameter->find('\0') != std::string::npos) {
            return leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                           "a parameter contains a zero byte"});
        }
        values.push_back(parameter ? parameter->c_str() : nullptr);
    }
    const std::string text(sql);
    if (PQsendQueryParams(handle_.get(), text.c_str(), static_cast<int>(values.size()), nullptr,
                          values.data(), nullptr, nullptr, 0)
        == 0) {
        // libpq doesn't say how much of the message it had written.
        return abandon(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "send failed");
    }
    // Rows are taken one by one, so that a result over the limit is never held whole.
    if (PQsetSingleRowMode(handle_.get()) == 0)
        return abandon(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "no single-row mode");
    return {};
}

Result<void> PgConnection::flush(TimePoint deadline)
{
    for (;;) {
        const int pending = PQflush(handle_.get());
        if (pending == 0)
            return {};
        if (pending < 0)
            return abandon(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "send failed");
        const auto wait = waitFor(POLLIN | POLLOUT, deadline);
        if (wait == Wait::TimedOut)
            return abandon(ErrorCode::DeadlineExceeded, Verdict::MayHaveRun, "send timed out");
        // The server may be blocked on its own output, so input has to be read as well.
        if (wait == Wait::Failed || PQconsumeInput(handle_.get()) == 0)
            return abandon(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "connection lost");
    }
}

Result<PgConnection::ResultHandle> PgConnection::nextResult(TimePoint deadline)
{
    while (PQisBusy(handle_.get()) != 0) {
        const auto wait = waitFor(POLLIN, deadline);
        if (wait == Wait::TimedOut)
            return abandon(ErrorCode::DeadlineExceeded, Verdict::MayHaveRun, "no answer in time");
        if (wait == Wait::Failed || PQconsumeInput(handle_.get()) == 0)
            return abandon(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "connection lost");
    }
    return ResultHandle(PQgetResult(handle_.get()));
}

Result<SqlResult> PgConnection::collect(TimePoint deadline)
{
    SqlResult collected;
    ResultHandle last;
    received_ = 0;
    for (;;) {
        BOOST_LEAF_AUTO(next, nextResult(deadline));
        if (!next)
            break;
        const auto status = PQresultStatus(next.get());
        if (status == PGRES_COPY_IN || status == PGRES_COPY_OUT || status == PGRES_COPY_BOTH)
            return abandon(ErrorCode::BadRequest, Verdict::MayHaveRun, "COPY is not supported");
        if (!addRows(next.get(), collected)) {
            close();
            break;
        }
        if (status != PGRES_SINGLE_TUPLE && !last)
            last = std::move(next);
    }
    const auto status = last ? PQresultStatus(last.get()) : PGRES_COMMAND_OK;
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK)
        return serverError(last.get());
    if (received_ > resultLimit_) {
        return leaf::new_error(
            Failure{ErrorCode::StatementError, Verdict::MayHaveRun,
                    "the result is longer than " + std::to_string(resultLimit_) + " bytes"});
    }
    if (!last)
        return abandon(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "no result");
    readCommand(last.get(), collected);
    return collected;
}

bool PgConnection::addRows(const PGresult *result, SqlResult &collected)
{
    const int columns = PQnfields(result);
    if (collected.columns.empty()) {
        for (int column = 0; column < columns; ++column)
            collected.columns.emplace_back(PQfname(result, column));
    }
    for (int row = 0; row < PQntuples(result); ++row) {
        received_ += valueOverhead;
        for (int column = 0; column < columns; ++column)
            received_ += valueOverhead + static_cast<std::size_t>(PQgetlength(result, row, column));
        if (received_ > resultLimit_) {
            // Past the limit, rows are dropped, so that a moderate excess costs no connection.
            collected.rows.clear();
            continue;
        }
        auto &values = collected.rows.emplace_back();
        for (int column = 0; column < columns; ++column)
            values.push_back(valueAt(result, row, column));
    }
    return received_ <= resultLimit_ * 2;
}

Result<SqlResult> PgConnection::serverError(const PGresult *result)
{
    const auto sqlState = field(result, PG_DIAG_SQLSTATE);
    // Results without an SQLSTATE are made by libpq when the connection or the protocol fails.
    if (sqlState.empty() || PQstatus(handle_.get()) != CONNECTION_OK) {
        const bool open = leavesOutcomeOpen(sqlState);
        return abandon(ErrorCode::ConnectionLost, open ? Verdict::MayHaveRun : Verdict::DidNotRun,
                       "connection lost");
    }
    const auto verdict = leavesOutcomeOpen(sqlState) ? Verdict::MayHaveRun : Verdict::DidNotRun;
    return leaf::new_error(Failure{ErrorCode::StatementError, verdict,
                                   sqlState + ": " + field(result, PG_DIAG_MESSAGE_PRIMARY)},
                           SqlState{sqlState});
}

} // namespace shallotwalk
