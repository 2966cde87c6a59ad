#pragma once

#include "wire/clock.h"
#include "wire/sqlconnection.h"

#include <libpq-fe.h>

#include <poll.h>

#include <array>
#include <memory>

namespace shallotwalk {

/// Connection to a PostgreSQL server over libpq in non-blocking mode. Not thread-safe.
class PgConnection : public SqlConnection
{
public:
    /// Connects until \a deadline. \a clock must outlive the connection. \a interrupt, which may
    /// be null, ends the connecting and all later waits.
    static Result<std::unique_ptr<SqlConnection>>
    connect(const SqlTarget &target, const Clock &clock, TimePoint deadline,
            std::shared_ptr<const Interrupt> interrupt = nullptr);

    Result<SqlResult> execute(std::string_view sql, SqlParameters parameters,
                              TimePoint deadline) override;
    bool isUsable() const override { return handle_ != nullptr; }
    bool inTransaction() const override;
    void close() override { handle_.reset(); }

private:
    enum class Wait { Ready, TimedOut, Failed };

    struct Finish
    {
        void operator()(PGconn *handle) const { PQfinish(handle); }
    };

    struct Clear
    {
        void operator()(PGresult *result) const { PQclear(result); }
    };

    using ResultHandle = std::unique_ptr<PGresult, Clear>;

    PgConnection(PGconn *handle, const Clock &clock, std::size_t resultLimit,
                 std::shared_ptr<const Interrupt> interrupt);

    std::array<pollfd, 2> pollEntries(short events) const;
    Wait waitFor(short events, TimePoint deadline) const;
    Result<void> finishConnect(TimePoint deadline);
    Result<void> checkBeforeSending();
    Result<void> send(std::string_view sql, SqlParameters parameters);
    Result<void> flush(TimePoint deadline);
    Result<ResultHandle> nextResult(TimePoint deadline);
    Result<SqlResult> collect(TimePoint deadline);
    bool addRows(const PGresult *result, SqlResult &collected);
    Result<SqlResult> serverError(const PGresult *result);
    boost::leaf::error_id abandon(ErrorCode code, Verdict verdict, std::string_view what);

    std::unique_ptr<PGconn, Finish> handle_;
    const Clock &clock_;
    std::size_t resultLimit_;
    std::shared_ptr<const Interrupt> interrupt_; ///< Null: none.
    std::size_t received_ = 0; ///< Bytes of the present result, with those dropped.
};

/// Opens PgConnections. Thread-safe.
class PgConnector : public SqlConnector
{
public:
    /// \a clock must outlive the connector and its connections.
    explicit PgConnector(const Clock &clock)
        : clock_(clock)
    {
    }

    Result<std::unique_ptr<SqlConnection>>
    connect(const SqlTarget &target, TimePoint deadline,
            std::shared_ptr<const Interrupt> interrupt = nullptr) override
    {
        return PgConnection::connect(target, clock_, deadline, std::move(interrupt));
    }

private:
    const Clock &clock_;
};

} // namespace shallotwalk
