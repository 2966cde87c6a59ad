#pragma once

#include "core/failure.h"
#include "core/statement.h"

#include <string>
#include <string_view>

namespace shallotwalk {

/// Encodes columns, rows and affected rows of \a result as JSON for shallotwalk_requests.
/// Thread-safe.
std::string encodeStoredResponse(const StatementResult &result);

/// Inverse of encodeStoredResponse(). Malformed text gives Internal with Ran, because the row
/// exists only if the write committed. Thread-safe.
Result<StatementResult> decodeStoredResponse(std::string_view text);

} // namespace shallotwalk
