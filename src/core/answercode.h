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
    TooBig,    ///< A message over the length limit.
    Malformed, ///< The statement can't be read, or doesn't fit the state of the session.
    Aborted,   ///< The transaction was rolled back; nothing of it is kept.
    InDoubt,   ///< A write may have taken effect.
    Unknown,   ///< A code that this version doesn't know.
};

/// The code's name in logs and metrics. Thread-safe.
std::string_view toString(AnswerCode code);

/// Whether the code promises that the statement which it answers didn't run. Thread-safe.
bool impliesDidNotRun(AnswerCode code);

} // namespace shallotwalk
