#pragma once

#include "core/connectionbudget.h"
#include "core/failure.h"
#include "core/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// The open transactions of one database on its owner. Each holds one connection for itself, so
/// that statements of different transactions can't mix. Remembers how recent ones ended, for
/// callers that repeat a commit whose answer they lost. Not thread-safe.
class TransactionTable
{
public:
    struct Transaction
    {
        ConnectionId connection = 0;
        std::uint64_t work = 0; ///< Admitted work that ends with the transaction.
        std::string caller;
        TimePoint lastUse;
        bool busy = false; ///< A statement of it is being run.
    };

    /// \a prefix is "<vm>/<epoch>/"; ids of another prefix are unknown here.
    TransactionTable(std::string prefix, Duration idleLimit);

    /// Opens a transaction and returns its id.
    std::string open(Transaction transaction);

    /// Checks that \a request may use its transaction now. Fails with TransactionUnknown or
    /// BadRequest; "did not run", except for a repeated commit, which may have run.
    /// \pre request.transaction is set.
    Result<Transaction *> find(const StatementRequest &request);

    /// A statement of the open transaction \a id has ended.
    void finished(std::string_view id, TimePoint now);

    /// Ends a transaction; \a committed is empty if the outcome is unknown.
    std::optional<Transaction> close(std::string_view id, std::optional<bool> committed);

    /// Ids of transactions on \a connection.
    std::vector<std::string> onConnection(ConnectionId connection) const;

    /// Ids of transactions without a statement for longer than the limit.
    std::vector<std::string> idle(TimePoint now) const;

    /// Time at which idle() next returns a transaction, or TimePoint::max().
    TimePoint nextDue() const;

    std::size_t size() const { return open_.size(); }

private:
    struct Ended
    {
        std::string id;
        std::optional<bool> committed;
    };

    Failure unknownFailure(const StatementRequest &request) const;

    std::string prefix_;
    Duration idleLimit_;
    std::map<std::string, Transaction, std::less<>> open_;
    std::deque<Ended> ended_;
    std::uint64_t next_ = 1;
};

} // namespace shallotwalk
