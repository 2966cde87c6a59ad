#pragma once

#include "core/position.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// The highest position that a session has written or read, for each database, in order of last
/// use. Callers carry it from proxy to proxy. Not thread-safe.
class SessionState
{
public:
    using Positions = std::map<std::string, Position, std::less<>>;

    /// The position that reads of \a database must cover; empty when the session has none.
    std::optional<Position> positionFor(std::string_view database) const;

    /// Raises the position of \a database; a lower position is ignored. Either way the database
    /// becomes the most recently used.
    void observe(std::string_view database, Position position);

    /// Sets the position of \a database even if that lowers it, after the caller was told of a
    /// loss. The database becomes the most recently used.
    void reset(std::string_view database, Position position);

    /// Makes \a database the most recently used if it has an entry.
    void touch(std::string_view database);

    /// Records that entries were removed for lack of space.
    void markIncomplete() { incomplete_ = true; }

    /// True if entries were removed, so that a missing entry may stand for a write.
    bool isIncomplete() const { return incomplete_; }

    /// True if the session may have written to \a database at a position that was removed. A read
    /// must then cover the last acknowledged write, whatever staleness its route allows.
    bool mayHaveLost(std::string_view database) const;

    /// True if there is nothing to carry.
    bool empty() const { return positions_.empty() && !incomplete_; }

    const Positions &positions() const { return positions_; }

    /// The databases with an entry, the least recently used first.
    std::span<const std::string> byLastUse() const { return order_; }

    bool operator==(const SessionState &) const = default;

private:
    void use(std::string_view database, bool isNew);

    Positions positions_;
    std::vector<std::string> order_;
    bool incomplete_ = false;
};

} // namespace shallotwalk
