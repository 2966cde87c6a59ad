#pragma once

#include "core/teams/keydigest.h"

#include <optional>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Returns the SHA-256 digest of \a key. Keys are long random texts, so that a digest can't be
/// turned back by trying. Thread-safe.
KeyDigest digestOfKey(std::string_view key);

/// Returns \a digest as "sha256:<hexadecimal>". Thread-safe.
std::string toText(const KeyDigest &digest);

/// Parses the text form of a digest; empty if \a text is none. Thread-safe.
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

} // namespace shallotwalk
