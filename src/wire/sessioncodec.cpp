#include "wire/sessioncodec.h"

#include <boost/leaf/error.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <vector>

namespace shallotwalk {

namespace {

// The cookie value is "<version>.<hexadecimal payload>.<signature>", where the payload holds one
// line "<pool>\t<term>\t<lsn>\n" for each database, the least recently used first. A line with an
// empty name marks an incomplete cookie; earlier versions carry it on as an entry.
constexpr std::string_view versionPrefix = "1.";
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr std::string_view incompleteLine = "\t0\t0\n";
constexpr std::size_t signatureBytes = 64; // HMAC-SHA-256 in hexadecimal.
constexpr std::size_t maxPayloadBytes = (maxSessionCookieBytes - sessionCookieName.size() - 1
                                         - versionPrefix.size() - 1 - signatureBytes)
                                        / 2;

std::string toHex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(hexDigits[byte >> 4]);
        text.push_back(hexDigits[byte & 15]);
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const auto *end = text.data() + i + 2;
        if (std::from_chars(text.data() + i, end, value, 16).ptr != end)
            return std::nullopt;
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

template<class Integer>
bool parseInteger(std::string_view text, Integer &value)
{
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

bool parseLine(std::string_view line, SessionState &state)
{
    const auto first = line.find('\t');
    const auto second = first == std::string_view::npos ? first : line.find('\t', first + 1);
    if (second == std::string_view::npos)
        return false;
    Position position;
    if (!parseInteger(line.substr(first + 1, second - first - 1), position.term)
        || !parseInteger(line.substr(second + 1), position.lsn))
        return false;
    if (first == 0)
        state.markIncomplete();
    else
        state.observe(line.substr(0, first), position);
    return true;
}

std::string encodeLine(const std::string &pool, Position position)
{
    return pool + '\t' + std::to_string(position.term) + '\t' + std::to_string(position.lsn) + '\n';
}

/// The lines of the most recently used databases that fit.
std::string encodePayload(const SessionState &state)
{
    const auto databases = state.byLastUse();
    std::vector<std::string> lines;
    std::size_t size = incompleteLine.size();
    for (auto database = databases.rbegin(); database != databases.rend(); ++database) {
        auto line = encodeLine(*database, *state.positionFor(*database));
        if (size + line.size() > maxPayloadBytes)
            break;
        size += line.size();
        lines.push_back(std::move(line));
    }
    std::string payload;
    if (state.isIncomplete() || lines.size() < databases.size())
        payload = incompleteLine;
    for (auto line = lines.rbegin(); line != lines.rend(); ++line)
        payload += *line;
    return payload;
}

auto invalid(std::string_view reason)
{
    return boost::leaf::new_error(Failure{ErrorCode::SessionStateInvalid, Verdict::DidNotRun,
                                          "session cookie refused: " + std::string(reason)});
}

} // namespace

SessionCodec::SessionCodec(std::string key)
    : key_(std::move(key))
{
}

std::string SessionCodec::encode(const SessionState &state) const
{
    auto value = std::string(versionPrefix) + toHex(encodePayload(state));
    value += '.' + signature(value);
    return value;
}

Result<SessionState> SessionCodec::decode(std::string_view value) const
{
    const auto dot = value.rfind('.');
    if (!value.starts_with(versionPrefix) || dot == std::string_view::npos
        || dot < versionPrefix.size())
        return invalid("unknown format");
    const auto signedPart = value.substr(0, dot);
    const auto given = value.substr(dot + 1);
    const auto expected = signature(signedPart);
    if (given.size() != expected.size()
        || CRYPTO_memcmp(given.data(), expected.data(), given.size()) != 0)
        return invalid("the signature does not match");
    const auto payload = fromHex(signedPart.substr(versionPrefix.size()));
    if (!payload)
        return invalid("unknown format");
    SessionState state;
    std::string_view rest = *payload;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        if (end == std::string_view::npos || !parseLine(rest.substr(0, end), state))
            return invalid("unknown format");
        rest.remove_prefix(end + 1);
    }
    return state;
}

std::string SessionCodec::signature(std::string_view payload) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(), digest.data(),
         &length);
    return toHex({reinterpret_cast<const char *>(digest.data()), length});
}

} // namespace shallotwalk
