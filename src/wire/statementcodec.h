#pragma once

#include "core/failure.h"
#include "core/statement.h"
#include "core/time.h"
#include "wire/httpmessage.h"
#include "wire/sessioncodec.h"

namespace shallotwalk {

/// Decodes a caller's HTTP request; docs/api.md describes the format. The route, the pool and the
/// route's time limit are still to be set. Fails with ErrorCode::BadRequest or
/// ErrorCode::SessionStateInvalid, both "did not run". Thread-safe.
Result<StatementRequest> decodeStatementRequest(const HttpRequest &request,
                                                const SessionCodec &sessions, TimePoint now);

/// Encodes the reply to \a request with the session's new state as a cookie. Thread-safe.
HttpResponse encodeStatementReply(const StatementRequest &request, const StatementReply &reply,
                                  const SessionCodec &sessions);

/// Encodes a failure of a request that could not be decoded. Thread-safe.
HttpResponse encodeFailure(const Failure &failure, std::string_view requestId);

} // namespace shallotwalk
