#pragma once

#include "core/statement.h"

#include "wire/sqlconnection.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Hash of a statement and its parameters, as stored with a request key. Thread-safe.
std::string bodyHash(std::string_view sql, SqlParameters parameters);

/// Checks a request key of the form <unix seconds>-<opaque>. BadRequest with DidNotRun if it is
/// malformed or more than 24 h ahead of \a unixTime; RequestKeyExpired with MayHaveRun if it is
/// older than 24 h, since the row of an earlier run may have been purged. Thread-safe.
Result<void> checkRequestKey(std::string_view key, std::int64_t unixTime);

/// Runs requests on one connection, one at a time, and decides their verdicts. It lives as long as
/// the connection, because it remembers the open transaction. Not thread-safe.
///
/// Reads are single statements on a session whose default_transaction_read_only is on, which costs
/// one round trip instead of the three of BEGIN READ ONLY, and makes the server refuse writes. The
/// connection has to be opened with SqlTarget::readOnlyByDefault.
class RequestExecutor
{
public:
    /// \a connection must outlive the executor; \a server is the VM named in results.
    RequestExecutor(SqlConnection &connection, std::string server);

    /// Runs \a request until its deadline, or up to 500 ms longer if something must be rolled back.
    /// \a unixTime is the present time in seconds. Results of writes and commits carry the position
    /// that covers them; the position of reads is zero. A write on a server that is no primary
    /// fails with NoPrimary and DidNotRun. After an error nothing is left open: the transaction is
    /// rolled back or the connection is unusable.
    StatementReply run(const StatementRequest &request, std::int64_t unixTime);

    /// True while a transaction that Operation::Begin opened is still open.
    bool hasOpenTransaction() const { return transaction_ != Transaction::None; }

private:
    enum class Transaction { None, Read, Write };

    Result<StatementResult> dispatch(const StatementRequest &request, std::int64_t unixTime);
    Result<StatementResult> read(const StatementRequest &request);
    Result<StatementResult> write(const StatementRequest &request);
    Result<StatementResult> writeOnce(const StatementRequest &request, std::int64_t unixTime);
    Result<StatementResult> runNew(const StatementRequest &request, const std::string &key);
    Result<StatementResult> replay(const StatementRequest &request, const std::string &key);
    Result<StatementResult> begin(const StatementRequest &request);
    Result<StatementResult> statementInTransaction(const StatementRequest &request);
    Result<StatementResult> commit(const StatementRequest &request);
    Result<StatementResult> rollback(const StatementRequest &request);

    Result<SqlResult> execute(std::string_view sql, SqlParameters parameters, TimePoint deadline);
    Result<SqlResult> executeUncommitted(std::string_view sql, SqlParameters parameters,
                                         TimePoint deadline);
    Result<void> setReadOnly(bool readOnly, TimePoint deadline);
    Result<void> beginBlock(Access access, TimePoint deadline);
    Result<void> commitBlock(TimePoint deadline);
    Result<Position> position(TimePoint deadline);
    Result<StatementResult> withPosition(StatementResult result, TimePoint deadline);
    StatementResult convert(SqlResult result) const;
    void cleanUp(TimePoint deadline);

    SqlConnection &connection_;
    std::string server_;
    bool sessionReadOnly_ = true;
    Transaction transaction_ = Transaction::None;
};

} // namespace shallotwalk
