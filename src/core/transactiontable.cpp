#include "core/transactiontable.h"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr std::size_t endedLimit = 1000;

} // namespace

TransactionTable::TransactionTable(std::string prefix, Duration idleLimit)
    : prefix_(std::move(prefix))
    , idleLimit_(idleLimit)
{
}

std::string TransactionTable::open(Transaction transaction)
{
    auto id = prefix_ + std::to_string(next_++);
    open_.emplace(id, std::move(transaction));
    return id;
}

Result<TransactionTable::Transaction *> TransactionTable::find(const StatementRequest &request)
{
    const auto found = open_.find(*request.transaction);
    if (found == open_.end())
        return boost::leaf::new_error(unknownFailure(request));
    auto &transaction = found->second;
    if (transaction.caller != request.caller) {
        return boost::leaf::new_error(Failure{ErrorCode::TransactionUnknown, Verdict::DidNotRun,
                                              "the transaction belongs to another caller"});
    }
    if (transaction.busy) {
        return boost::leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                              "another statement of the transaction is being run"});
    }
    return &transaction;
}

void TransactionTable::finished(std::string_view id, TimePoint now)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    found->second.busy = false;
    found->second.lastUse = now;
}

std::optional<TransactionTable::Transaction> TransactionTable::close(std::string_view id,
                                                                     std::optional<bool> committed)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return std::nullopt;
    auto transaction = std::move(found->second);
    open_.erase(found);
    ended_.push_back({std::string(id), committed});
    if (ended_.size() > endedLimit)
        ended_.pop_front();
    return transaction;
}

std::vector<std::string> TransactionTable::onConnection(ConnectionId connection) const
{
    std::vector<std::string> ids;
    for (const auto &[id, transaction] : open_) {
        if (transaction.connection == connection)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> TransactionTable::idle(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, transaction] : open_) {
        if (!transaction.busy && now - transaction.lastUse >= idleLimit_)
            ids.push_back(id);
    }
    return ids;
}

TimePoint TransactionTable::nextDue() const
{
    auto due = TimePoint::max();
    for (const auto &[id, transaction] : open_) {
        if (!transaction.busy)
            due = std::min(due, transaction.lastUse + idleLimit_);
    }
    return due;
}

Failure TransactionTable::unknownFailure(const StatementRequest &request) const
{
    const auto ended = std::find_if(ended_.begin(), ended_.end(), [&](const Ended &entry) {
        return entry.id == *request.transaction;
    });
    if (ended == ended_.end()) {
        // A former owner may have committed it, so only other operations certainly did not run.
        const bool commit = request.operation == Operation::Commit;
        return {ErrorCode::TransactionUnknown, commit ? Verdict::MayHaveRun : Verdict::DidNotRun,
                commit ? "the transaction is not open here; it was committed or rolled back"
                       : "the transaction is not open here; if uncommitted, it was rolled back"};
    }
    if (!ended->committed)
        return {ErrorCode::TransactionAborted, Verdict::MayHaveRun,
                "the connection was lost during the commit"};
    if (*ended->committed) {
        const bool commit = request.operation == Operation::Commit;
        return {ErrorCode::TransactionUnknown, commit ? Verdict::Ran : Verdict::DidNotRun,
                "the transaction is committed already"};
    }
    return {ErrorCode::TransactionAborted, Verdict::DidNotRun, "the transaction was rolled back"};
}

} // namespace shallotwalk
