#pragma once

#include "core/serverstatus.h"
#include "databases/messages.h"

#include "wire/sqlconnection.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Statements of the request executor. All SQL here runs on PostgreSQL 15 and on the stand-in.
namespace sql {

// READ COMMITTED makes a row visible that a concurrent transaction with the same key committed.
constexpr std::string_view beginWrite = "BEGIN ISOLATION LEVEL READ COMMITTED READ WRITE";
constexpr std::string_view beginRead = "BEGIN READ ONLY";
constexpr std::string_view commit = "COMMIT";
constexpr std::string_view rollback = "ROLLBACK";
constexpr std::string_view setReadOnly = "SET default_transaction_read_only = on";
constexpr std::string_view setReadWrite = "SET default_transaction_read_only = off";
constexpr std::string_view insertRequest =
    "INSERT INTO shallotwalk_requests(request_key, body_hash, created_at) VALUES ($1, $2, $3) "
    "ON CONFLICT DO NOTHING";
constexpr std::string_view readRequest =
    "SELECT body_hash, response FROM shallotwalk_requests WHERE request_key = $1";
constexpr std::string_view storeResponse =
    "UPDATE shallotwalk_requests SET response = $1 WHERE request_key = $2";
// Batches, because the rows of a busy day would take longer than a request may.
constexpr std::string_view purgeRequests =
    "DELETE FROM shallotwalk_requests WHERE request_key IN (SELECT request_key FROM "
    "shallotwalk_requests WHERE created_at < $1 LIMIT 1000)";
constexpr std::string_view currentPosition =
    "SELECT pg_walfile_name(pg_current_wal_lsn()), pg_current_wal_lsn()";

} // namespace sql

/// Term in the first eight digits of a WAL file name; empty if malformed. Thread-safe.
std::optional<Term> termFromWalFileName(std::string_view name);

/// Inverse of PostgreSQL's text form of an LSN, such as 16/B374D848. Thread-safe.
std::optional<LogPosition> lsnFromText(std::string_view text);

/// PostgreSQL's text form of an LSN. Thread-safe.
std::string lsnToText(LogPosition position);

/// Microseconds since 1970 of a timestamp in ISO format and UTC, such as
/// 2026-01-31 12:00:00.5+00; empty if malformed. Thread-safe.
std::optional<std::int64_t> unixMicroseconds(std::string_view timestamp);

/// Time before which request keys are purged, the parameter of sql::purgeRequests. Thread-safe.
std::int64_t purgeLimit(std::int64_t unixTime);

/// Epoch in the application name of a connection for \a pool; empty for other connections.
/// Thread-safe.
std::optional<Epoch> epochFromApplicationName(std::string_view name, std::string_view pool);

/// Statements about shallotwalk's tables and the state of one server. The connection's session must
/// not be read-only by default. Every call is bounded by \a deadline; errors are Failures.
class Schema
{
public:
    /// \a connection must outlive the schema.
    explicit Schema(SqlConnection &connection)
        : connection_(connection)
    {
    }

    /// Creates shallotwalk_requests and shallotwalk_terms if they are missing.
    Result<void> create(TimePoint deadline);

    /// Deletes at most 1,000 request keys older than 48 h. Returns their number.
    Result<std::int64_t> purgeRequests(std::int64_t unixTime, TimePoint deadline);

    /// All rows of shallotwalk_terms, ordered by term; none if the table is missing.
    Result<std::vector<TermRow>> terms(TimePoint deadline);

    /// Adds a row. Of an existing row of the same term the fork stays and the period is raised,
    /// never lowered.
    Result<void> insertTerm(const TermRow &row, TimePoint deadline);

    /// Terminates the other connections of \a pool with an epoch lower than \a epoch and waits up
    /// to 1 s for the end of each. Returns how many were found; none is left once it returns 0.
    Result<std::size_t> terminateLowerEpochs(std::string_view pool, Epoch epoch,
                                             TimePoint deadline);

    /// Samples the server. \c status.vm and \c status.sampledAt are left to the caller.
    /// \a contactTime is the longest age of the WAL receiver's last message that counts as contact.
    Result<ServerSample> sample(Duration contactTime, TimePoint deadline);

    /// Orders a replica to become primary without waiting for it. Returns false, without an
    /// effect, if the server has left recovery or has received other data than \a expected.
    Result<bool> promote(LogPosition expected, TimePoint deadline);

private:
    Result<void> sampleServed(ServerStatus &status, TimePoint deadline);

    SqlConnection &connection_;
};

} // namespace shallotwalk
