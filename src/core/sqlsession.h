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

/// Number of a client session, unique within the process and never reused.
using SessionNumber = std::uint64_t;

/// Number of a statement that is passed to a group, unique within the process and never reused.
using RequestNumber = std::uint64_t;

/// Transaction state of a session, at a client or at a backend server.
enum class TransactionState {
    None,
    Open,
    Failed, ///< Only the end of the transaction is accepted, and rolls it back.
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

/// One decoded statement of a client.
struct SessionStatement
{
    std::string id; ///< Identifier that the client chose; sent to the server with the statement.
    StatementKind kind = StatementKind::Read;
    bool readOnly = false; ///< Whether a Begin or Prepare is read-only.
    std::string name;      ///< Name of the session value or prepared statement.
    /// Read and Write: everything after the verb. SetValue: the value. Prepare: the statement
    /// template. Execute: the arguments.
    std::string text;
};

/// Values that a client has set in its session, by name.
using SessionValues = std::map<std::string, std::string, std::less<>>;

/// A statement that a client has prepared under some name.
struct PreparedStatement
{
    bool readOnly = false;
    std::string statementTemplate; ///< Statement that takes its arguments on execution.

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
    /// A replica receives no log data until a primary of the given term leads. Answered like
    /// Status.
    Pause,
    Resume, ///< Ends a pause. Answered like Status.
    /// A primary of an older term than the given one becomes a replica. Answered like Status.
    Demote,
};

/// One command to a backend server.
struct ServerCommand
{
    CommandKind kind = CommandKind::Status;
    std::string id; ///< Identifier of the client's statement; empty for the proxy's own commands.
    /// The server refuses a read or a begin with AnswerCode::Lagging unless its log holds this
    /// position.
    std::optional<Position> after = {};
    bool readOnly = false; ///< Whether a Prepare is for a read-only statement.
    std::string name = {}; ///< Has the meaning of SessionStatement::name.
    std::string text = {}; ///< Has the meaning of SessionStatement::text.
    /// For Pause: term of the primary that ends the pause. For Demote: a term that the server
    /// doesn't lead.
    Term term = 0;
};

/// A backend server's report about itself.
struct ServerReport
{
    bool primary = false;
    Term term = 0;
    Position received; ///< Last position that it has received or, as primary, written.
    /// A paused replica receives no log data until a primary of this term leads; 0: not paused.
    Term pausedUntilTerm = 0;
};

/// Answer of a backend server to one command, or to the opening of a connection.
struct ServerReply
{
    std::optional<AnswerCode> error;
    std::string errorText;
    std::vector<std::string> rows;
    std::string signature; ///< Proof that the server ran the statement; empty if there is none.
    TransactionState state = TransactionState::None;
    std::optional<Position> position;   ///< End of the server's log.
    std::optional<ServerReport> report; ///< Set in answers to Status, Pause, Resume, Demote.
};

/// Answer to a client's statement.
struct SessionAnswer
{
    std::optional<AnswerCode> error;
    std::string text;              ///< Human-readable explanation of \c error.
    std::vector<std::string> rows; ///< Rows of the result, as the server sent them.
    std::string signature;         ///< Empty for statements that the proxy answers itself.
    bool opening = false;          ///< Answers the opening of the session, not a statement.
    TransactionState state = TransactionState::None;
    std::optional<Position> position; ///< End of the log of the last server to answer, if any.
};

} // namespace shallotwalk
