#pragma once

#include <string_view>

namespace shallotwalk {

/// Whether \a text is an IPv4 number in dotted form or an IPv6 number in hexadecimal groups.
/// Scopes ("%eth0") and embedded IPv4 numbers are not accepted. Thread-safe.
bool isIpNumber(std::string_view text);

} // namespace shallotwalk
