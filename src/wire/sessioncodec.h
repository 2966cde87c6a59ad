#pragma once

#include "core/failure.h"
#include "core/sessionstate.h"

#include <string>
#include <string_view>

namespace shallotwalk {

inline constexpr std::string_view sessionCookieName = "shallotwalk-session";

/// Longest cookie in bytes: name, "=" and value. Clients drop cookies over 4 KB, and the attributes
/// count as well.
inline constexpr std::size_t maxSessionCookieBytes = 3000;

/// Encodes session state as a cookie value that callers can carry but not forge: the positions and
/// an HMAC-SHA-256 over them. Immutable, thus thread-safe.
class SessionCodec
{
public:
    /// \pre \a key is the same on all proxies and not empty.
    explicit SessionCodec(std::string key);

    /// Leaves out the least recently used databases beyond maxSessionCookieBytes and then marks the
    /// value as incomplete.
    std::string encode(const SessionState &state) const;

    /// Fails with ErrorCode::SessionStateInvalid ("did not run") if the value was altered or
    /// signed with another key.
    Result<SessionState> decode(std::string_view value) const;

private:
    std::string signature(std::string_view payload) const;

    std::string key_;
};

} // namespace shallotwalk
