#include "wire/keydigests.h"

#include <openssl/sha.h>

#include <charconv>

namespace shallotwalk {

namespace {

constexpr std::string_view prefix = "sha256:";
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr int hexBase = 16;

static_assert(std::tuple_size_v<decltype(KeyDigest::bytes)> == SHA256_DIGEST_LENGTH);

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

std::string toText(const KeyDigest &digest)
{
    std::string text(prefix);
    text.reserve(prefix.size() + 2 * digest.bytes.size());
    for (const auto byte : digest.bytes) {
        text += hexDigits[byte >> 4U];
        text += hexDigits[byte & 15U];
    }
    return text;
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    KeyDigest digest;
    if (!text.starts_with(prefix))
        return std::nullopt;
    text.remove_prefix(prefix.size());
    if (text.size() != 2 * digest.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        const auto *begin = text.data() + 2 * i;
        const auto result = std::from_chars(begin, begin + 2, digest.bytes[i], hexBase);
        if (result.ec != std::errc() || result.ptr != begin + 2)
            return std::nullopt;
    }
    return digest;
}

} // namespace shallotwalk
