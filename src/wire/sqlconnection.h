#pragma once

#include "core/failure.h"
#include "core/time.h"
#include "wire/interrupt.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Parameters of a statement; empty optionals are SQL nulls.
using SqlParameters = std::span<const std::optional<std::string>>;

/// What the server returned for one statement that it completed.
struct SqlResult
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::int64_t affectedRows = 0;
    std::string command; ///< Command tag without counts, for example "INSERT" or "COMMIT".
};

/// Error object that accompanies a Failure when the server reported the error itself.
struct SqlState
{
    std::string code; ///< Five characters, as listed in PostgreSQL's manual, appendix A.
};

/// One connection to a backend server. Not thread-safe; every call is bounded by its deadline.
class SqlConnection
{
public:
    virtual ~SqlConnection() = default;

    /// Runs one statement until \a deadline. Errors are a Failure and, if the server reported it,
    /// a SqlState. The Failure's verdict is about this statement alone: ConnectionLost or
    /// DeadlineExceeded with DidNotRun if nothing was sent, and with MayHaveRun after that.
    /// StatementError is the server's own error; its verdict is DidNotRun, except for errors that
    /// leave the outcome of a commit open and for a result over the limit: MayHaveRun, because the
    /// statement may have committed by itself. The connection is closed after much over the limit.
    virtual Result<SqlResult> execute(std::string_view sql, SqlParameters parameters,
                                      TimePoint deadline) = 0;

    /// False after a timeout, a lost connection, a protocol error or close(). An unusable
    /// connection must not be used again.
    virtual bool isUsable() const = 0;

    /// True while the server reports an open or failed transaction block.
    virtual bool inTransaction() const = 0;

    /// Closes the connection without waiting. The server rolls back an open transaction.
    virtual void close() = 0;
};

/// Bounds on the values of one result, in bytes, so that it fits into a frame between proxies.
inline constexpr std::size_t defaultResultBytes = 2UL * 1024 * 1024;
inline constexpr std::size_t largestResultBytes = 3UL * 1024 * 1024;

/// Where and as whom to connect.
struct SqlTarget
{
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    std::string databaseName;
    std::string user;
    std::string applicationName;    ///< See applicationName(); at most 63 bytes.
    bool readOnlyByDefault = false; ///< Sets default_transaction_read_only for the session.
    std::size_t resultBytes = defaultResultBytes; ///< Longest result; a longer one fails.
};

/// Name under which the owner of \a pool in \a epoch connects: shallotwalk/<pool>/<epoch>.
std::string applicationName(std::string_view pool, std::uint64_t epoch);

/// Opens connections. Thread-safe.
class SqlConnector
{
public:
    virtual ~SqlConnector() = default;

    /// Connects until \a deadline, or fails with ConnectionLost or DeadlineExceeded and DidNotRun.
    /// \a interrupt, which may be null, ends this wait and those of the connection: they fail with
    /// ConnectionLost.
    virtual Result<std::unique_ptr<SqlConnection>>
    connect(const SqlTarget &target, TimePoint deadline,
            std::shared_ptr<const Interrupt> interrupt = nullptr) = 0;
};

} // namespace shallotwalk
