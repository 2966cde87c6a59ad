#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>

namespace shallotwalk {

/// Cryptographic digest of a caller's secret key. Only digests are kept, compared and passed on;
/// wire/keydigests.h computes them.
struct KeyDigest
{
    std::array<std::uint8_t, 32> bytes{};

    auto operator<=>(const KeyDigest &) const = default;
};

/// Hash of a KeyDigest, whose bytes are evenly distributed already.
struct KeyDigestHash
{
    std::size_t operator()(const KeyDigest &digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.bytes.data(), sizeof hash);
        return hash;
    }
};

} // namespace shallotwalk
