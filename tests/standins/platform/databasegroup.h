#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace standin {

using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

/// A place in a group's log.
struct LogPlace
{
    std::uint64_t term = 1;
    std::uint64_t number = 0;

    auto operator<=>(const LogPlace &) const = default;
};

/// One committed write.
struct LogEntry
{
    LogPlace place;
    std::string statement; ///< Id of the client's statement.
    std::string item;
    std::string data;
};

/// What a connection does after an answer that is lost.
enum class AnswerLoss {
    Close,
    Silence, ///< It takes further statements, runs none and answers none.
    GoOn,    ///< The next statement is answered.
    Cut,     ///< Like GoOn, but the answer is sent up to its last line.
};

/// The databases of one service: their logs, who leads, and the faults that a test asks for.
/// Replication is instant, but for a lag between receipt and application. Thread-safe.
class DatabaseGroup
{
public:
    struct Member
    {
        std::string id;
        std::uint16_t port = 0;
        bool primary = false;
        std::uint64_t term = 1;
        std::vector<LogEntry> log; ///< Received.
        bool crashed = false;      ///< Refuses connections.
        bool silent = false;       ///< Takes everything and answers nothing.
        unsigned lostAnswers = 0;  ///< Of the next writes and commits.
        AnswerLoss answerLoss = AnswerLoss::Close;
        bool busy = false; ///< All slots are taken.
    };

    explicit DatabaseGroup(std::vector<std::string> ids);

    /// Runs \a use with the member \a id under the lock.
    template<class Use>
    auto with(const std::string &id, Use use)
    {
        const std::scoped_lock lock(mutex_);
        return use(members_.at(id));
    }

    /// Appends \a writes at the leader \a id and at all members that can receive. False if \a id
    /// doesn't lead.
    bool commit(const std::string &id, std::vector<LogEntry> writes);

    /// Data of \a item as member \a id has applied it, and the place up to which it has.
    std::pair<std::string, LogPlace> read(const std::string &id, const std::string &item);

    /// Place up to which member \a id has applied its log.
    LogPlace applied(const std::string &id);

    /// Makes \a id the leader of the next term. False if it isn't running or the token is lower
    /// than one seen before.
    bool promote(const std::string &id, std::int64_t token);

    /// Ends the faults of member \a id. Unless it still leads, it follows the leader with its log.
    void revive(const std::string &id);

    void setLag(Milliseconds lag);

    /// Sets how long a read takes, and how often its row is sent.
    void setReads(Milliseconds work, std::size_t rows);
    std::pair<Milliseconds, std::size_t> reads();

    /// Records that a connection was opened for \a tenant.
    void noteTenant(const std::string &tenant);

    /// The tenants for which connections were opened, one a line.
    std::string tenants();

    /// All entries of the leader's log, one a line: "<statement> <item> <data>".
    std::string log();

    std::vector<std::string> ids();
    std::string leader();

private:
    std::size_t appliedCount(const Member &member) const;

    std::mutex mutex_;
    std::set<std::string> tenants_;
    std::map<std::string, Member> members_;
    std::vector<SteadyTime> commitTimes_; ///< Of the leader's log, by number.
    Milliseconds lag_{0};
    std::pair<Milliseconds, std::size_t> reads_{0, 1};
    std::int64_t highestToken_ = 0;
};

} // namespace standin
