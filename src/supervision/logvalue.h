#pragma once

#include <string>
#include <string_view>

namespace shallotwalk {

/// Text as the value of a key=value pair of a log line. It is put in quotes, with control
/// characters, quotes and backslashes escaped, unless it is a plain word, so that text from outside
/// can't forge pairs or lines. Text that looks like a number is quoted too. Thread-safe.
std::string logValue(std::string_view text);

} // namespace shallotwalk
