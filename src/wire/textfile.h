#pragma once

#include "core/failure.h"

#include <string>

namespace shallotwalk {

/// Reads the file \a path. Fails with ErrorCode::BadRequest and "<path>: <reason>". Blocks.
/// Thread-safe.
Result<std::string> readTextFile(const std::string &path);

} // namespace shallotwalk
