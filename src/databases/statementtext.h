#pragma once

#include <string>
#include <string_view>

namespace shallotwalk {

/// First keyword of \a sql in upper case, after white space, comments and opening parentheses.
/// Thread-safe.
std::string firstKeyword(std::string_view sql);

/// True for statements that a caller may not send as text, because they would change the
/// transaction or the session that the proxy manages. Thread-safe.
bool controlsSession(std::string_view sql);

} // namespace shallotwalk
