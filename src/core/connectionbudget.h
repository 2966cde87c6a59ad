#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>

namespace shallotwalk {

/// Numbers the connections of one database.
using ConnectionId = std::uint64_t;

/// Bounds on the connections of one database.
struct ConnectionBudgetSettings
{
    std::size_t limit = 16;       ///< Over all servers, connections being closed included.
    std::size_t openingLimit = 2; ///< Being opened at once; opening costs the servers 12 to 30 ms.
    Duration openFailureDelay{std::chrono::milliseconds(200)}; ///< Before the next try on a server.
    /// Bound on that delay, which doubles with each failure in a row; at most openFailureDelay: the
    /// delay stays the same.
    Duration longestOpenFailureDelay{0};
    /// Determines the part by which a growing delay is shortened, so that proxies which were
    /// refused together don't try again together.
    std::uint64_t randomSeed = 0;
};

/// What to do for a request that needs a connection to a server.
struct UseConnection
{
    ConnectionId id = 0;
};
struct OpenConnection
{
    ConnectionId id = 0; ///< Number of the new connection.
};
struct CloseIdleConnection ///< Makes room; the request waits until the connection is gone.
{
    ConnectionId id = 0;
};
struct WaitForConnection
{
};
using ConnectionStep =
    std::variant<UseConnection, OpenConnection, CloseIdleConnection, WaitForConnection>;

/// Counts the connections of one database to its backend servers, so that their sum never passes
/// the limit, and decides when to open one and which idle one to close. A connection counts until
/// it is reported closed. Not thread-safe.
class ConnectionBudget
{
public:
    explicit ConnectionBudget(const ConnectionBudgetSettings &settings);

    /// Finds a connection to \a server for a request of \a team. UseConnection marks it busy,
    /// OpenConnection counts a new one as opening, CloseIdleConnection marks one as closing. A
    /// connection belongs to the team for which it was opened.
    ConnectionStep acquire(std::string_view server, std::string_view team, TimePoint now);

    /// As above, where connections belong to no team.
    ConnectionStep acquire(std::string_view server, TimePoint now)
    {
        return acquire(server, {}, now);
    }

    /// Returns whether acquire() would find a connection to \a server for any team, if need be by
    /// closing an idle one of another team.
    bool available(std::string_view server, TimePoint now) const;

    /// The connection \a id is open and idle.
    void opened(ConnectionId id, TimePoint now);

    /// The request on \a id has ended and the connection can be used again.
    void released(ConnectionId id, TimePoint now);

    /// No request may use \a id any more; it still counts until closed().
    void retire(ConnectionId id);

    /// The connection \a id is gone. \a failedToOpen delays the next opening on its server.
    void closed(ConnectionId id, bool failedToOpen, TimePoint now);

    /// Returns whether take() would take the connection.
    bool idle(ConnectionId id) const;

    /// Takes a connection that is idle; false if it isn't idle any more.
    bool take(ConnectionId id);

    /// Server of a connection; empty if it is unknown. Valid until the connection is closed.
    std::string_view serverOf(ConnectionId id) const;

    /// Time until which acquire() opens no connection to \a server after a failure.
    TimePoint retryAt(std::string_view server) const;

    std::size_t total() const { return connections_.size(); }
    std::size_t busy() const;
    std::size_t busyOn(std::string_view server) const;
    std::size_t limit() const { return settings_.limit; }
    void setLimit(std::size_t limit) { settings_.limit = limit; }
    void setLongestOpenFailureDelay(Duration delay) { settings_.longestOpenFailureDelay = delay; }

private:
    enum class State { Opening, Idle, Busy, Closing };
    struct Connection
    {
        std::string server;
        std::string team;
        State state = State::Opening;
        TimePoint since;
    };

    /// Failures in a row to open a connection to one server.
    struct OpenFailures
    {
        unsigned count = 0;
        TimePoint retryAt;
    };

    std::size_t count(State state) const;
    bool mayOpen(std::string_view server, TimePoint now) const;
    std::optional<ConnectionId> longestIdle() const;
    Duration delayAfter(unsigned failures);

    ConnectionBudgetSettings settings_;
    std::map<ConnectionId, Connection> connections_;
    std::map<std::string, OpenFailures, std::less<>> failures_;
    std::minstd_rand random_;
    ConnectionId nextId_ = 1;
};

} // namespace shallotwalk
