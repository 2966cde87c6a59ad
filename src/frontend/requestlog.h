#pragma once

#include "core/failure.h"
#include "core/statement.h"
#include "core/time.h"

namespace shallotwalk {

/// Logs one answered request: failed ones at level info, others at level debug. The line holds no
/// statement text, parameters, keys or cookies, and no error message, because messages of a
/// database may quote values. \a failure is null after a success. Thread-safe.
void logRequest(const StatementRequest &request, const Failure *failure, Duration duration);

} // namespace shallotwalk
