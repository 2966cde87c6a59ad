#pragma once

#include "core/verdict.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace shallotwalk {

/// Result of an operation whose error objects (usually a Failure) travel through LEAF.
template<class T>
using Result = boost::leaf::result<T>;

/// Reasons for which a request fails. Their names in answers are fixed; see toString().
enum class ErrorCode {
    BadRequest,
    NoRoute,
    RequestKeyRequired,
    RequestKeyConflict,
    RequestKeyExpired,
    QueueFull,
    DeadlineExceeded,
    NotOwner,
    NoOwner,
    NoPrimary,
    NoServer,
    SessionStateLost,
    SessionStateInvalid,
    TransactionUnknown,
    TransactionAborted,
    ConnectionLost,
    Unconfirmed,
    Superseded,
    StatementError,
    Draining,
    PeerUnreachable,
    Internal,
};

/// The code's fixed name in answers and logs. Thread-safe.
std::string_view toString(ErrorCode code);

/// Why a request failed, and whether it may have run.
struct Failure
{
    ErrorCode code = ErrorCode::Internal;
    Verdict verdict = Verdict::MayHaveRun;
    std::string message;
};

} // namespace shallotwalk
