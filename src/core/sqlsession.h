#pragma once

#include "core/answercode.h"
#include "core/position.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// Numbers the client sessions of one process. Never used again.
using SessionNumber = std::uint64_t;

/// Numbers the statements that one process passes to its groups. Never used again.
using RequestNumber = std::uint64_t;

/// Transaction state of a session, at a client or at a backend server.
enum class TransactionState {
    None,
    Open,
    Failed, ///< Ending the transaction rolls it back; everything else is refused.
};

enum class StatementKind {
    Begin,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
};

/// One statement of a client, decoded.
struct SessionStatement
{
    std::string id; ///< The client's, passed on with the statement.
    StatementKind kind = StatementKind::Read;
    bool readOnly = false; ///< Of Begin and Prepare.
    std::string name;      ///< Of a session value or a prepared statement.
    /// Read and Write: everything after the verb. SetValue: the value. Prepare: the shape. Execute:
    /// the arguments.
    std::string text;
};

/// Values that a client has set in its session, by name.
using SessionValues = std::map<std::string, std::string, std::less<>>;

/// What a client's name of a prepared statement stands for.
struct PreparedStatement
{
    bool readOnly = false;
    std::string statementTemplate;

    auto operator<=>(const PreparedStatement &) const = default;
};

enum class CommandKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    ResetSession, ///< Clears session values and prepared statements.
    Status,
    Pause,  ///< A replica receives nothing until a primary of a term leads. Answered like Status.
    Resume, ///< Ends a pause. Answered like Status.
};

/// One command to a backend server.
struct ServerCommand
{
    CommandKind kind = CommandKind::Status;
    std::string id; ///< Of the client's statement; empty for a command of the proxy itself.
    /// The server refuses a read or a begin with "lagging" unless its log holds this position.
    std::optional<Position> after = {};
    bool readOnly = false; ///< Of Prepare.
    std::string name = {}; ///< As in SessionStatement.
    std::string text = {}; ///< As in SessionStatement.
    Term term = 0;         ///< Of Pause: that of the next primary.
};

/// A backend server's report about itself.
struct ServerReport
{
    bool primary = false;
    Term term = 0;
    Position received; ///< Last position received (a primary: written).
    /// It receives nothing until a primary of this term leads; 0: it receives.
    Term pausedUntilTerm = 0;
};

/// Answer of a backend server to one command, or to the opening of a connection.
struct ServerReply
{
    std::optional<AnswerCode> error;
    std::string errorText;
    std::vector<std::string> rows;
    std::string signature; ///< Proves that the server ran the statement; empty if it gives none.
    TransactionState state = TransactionState::None;
    std::optional<Position> position;   ///< End of the server's log.
    std::optional<ServerReport> report; ///< In answer to Status.
};

/// Answer to a client's statement.
struct SessionAnswer
{
    std::optional<AnswerCode> error;
    std::string text;              ///< Of an error, for people.
    std::vector<std::string> rows; ///< Unchanged, in order.
    std::string signature;         ///< Empty for statements that the proxy answers itself.
    bool opening = false;          ///< Answers the opening of the session, not a statement.
    TransactionState state = TransactionState::None;
    std::optional<Position> position;
};

} // namespace shallotwalk
