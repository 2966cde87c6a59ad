#pragma once

#include "core/sqlsession.h"
#include "core/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <span>

namespace shallotwalk {

/// Kind of command that a reply on a connection to a backend server belongs to.
enum class ExpectedReply {
    Opening,
    Preparation, ///< Session values and prepared statements.
    Begin,
    Statement,
    ProxyRollback, ///< A rollback that the proxy sends by itself.
    Probe,         ///< A begin that checks whether the server is the primary.
    Report,        ///< Status, Pause or Resume.
    Demotion,
};

/// A command to a backend server whose reply is due.
struct OutstandingCommand
{
    ExpectedReply kind = ExpectedReply::Opening;
    TimePoint sentAt;
    Position logEnd = {}; ///< Of the primary, as known when the command was sent.
};

/// Matches the replies on one connection to the commands that were sent on it. Replies carry
/// nothing that names their command and arrive in order, but a server may lose one; each later
/// reply then takes the place of the one before it. A signature shows that a reply belongs to the
/// statement. An error shows nothing of the kind, so an error with further replies due behind it is
/// withheld until as many replies as commands have arrived. Not thread-safe.
class ReplySequence
{
public:
    struct Match
    {
        OutstandingCommand command;
        ServerReply reply;
        bool foreign = false; ///< The reply belongs to another command, so one was lost.
    };

    /// Records that commands of \a kinds were sent in this order at \a now.
    void sent(std::span<const ExpectedReply> kinds, TimePoint now, Position logEnd = {});

    /// Takes the next reply of the connection. Returns false if none is due.
    bool received(ServerReply reply);

    /// Removes and returns the oldest reply, once it is known whether it belongs to its command.
    std::optional<Match> next();

    /// Returns whether next() has returned the replies to all commands.
    bool empty() const { return commands_.empty(); }

    /// Returns the number of replies that have not been received.
    std::size_t due() const { return commands_.size() - replies_.size(); }

    /// Returns the number of replies that next() has not returned, because it isn't known yet
    /// whether they belong to their commands.
    std::size_t withheld() const { return replies_.size(); }

    /// Returns the oldest command whose reply next() has not returned. \pre !empty()
    const OutstandingCommand &oldest() const { return commands_.front(); }

private:
    std::deque<OutstandingCommand> commands_;
    std::deque<ServerReply> replies_; ///< To the first of the commands.
    /// Number of the first replies that are known to be in their place, because no reply was lost.
    std::size_t inPlace_ = 0;
};

} // namespace shallotwalk
