#pragma once

#include <string_view>

namespace shallotwalk {

/// Why a statement or a connection was refused or failed, as a backend server or a proxy reports
/// it.
enum class AnswerCode {
    Busy,           ///< No capacity; the statement didn't run.
    Lagging,        ///< The server's log lacks the required position; the statement didn't run.
    ReadOnly,       ///< The server doesn't lead its group; the statement didn't run.
    WrongServer,    ///< Another service or server instance listens at the address.
    TooManyClients, ///< The server's connection limit is reached.
    NotPrepared,    ///< No prepared statement of that name; the statement didn't run.
    Failed,         ///< The statement ran and failed.
    TimedOut,       ///< The statement may have run; its answer didn't come in time.
    NoDatabase,     ///< No route has that database name.
    NotPermitted,
    TooBig,    ///< A message or a session's data exceeds its limit.
    Malformed, ///< The statement can't be parsed, or isn't allowed in the state of the session.
    Aborted,   ///< The transaction was rolled back completely.
    InDoubt,   ///< A write may have taken effect.
    Unknown,   ///< A code that this version doesn't know.
};

/// The code's name in logs and metrics. Thread-safe.
std::string_view toString(AnswerCode code);

/// Whether an answer with \a code guarantees that the statement didn't run. Thread-safe.
bool impliesDidNotRun(AnswerCode code);

} // namespace shallotwalk
