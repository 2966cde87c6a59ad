#include "core/ipnumber.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <functional>
#include <optional>

namespace shallotwalk {

namespace {

constexpr std::size_t ipv4Parts = 4;
constexpr std::size_t ipv6Groups = 8;

/// Number of parts of \a text between separators, or empty if one doesn't satisfy \a valid.
std::optional<std::size_t> countParts(std::string_view text, char separator,
                                      const std::function<bool(std::string_view)> &valid)
{
    std::size_t count = 0;
    for (bool more = true; more; ++count) {
        const auto end = text.find(separator);
        more = end != std::string_view::npos;
        if (!valid(text.substr(0, end)))
            return std::nullopt;
        text.remove_prefix(more ? end + 1 : text.size());
    }
    return count;
}

bool isDecimalByte(std::string_view part)
{
    unsigned value = 0;
    const auto *end = part.data() + part.size();
    const auto result = std::from_chars(part.data(), end, value);
    const bool leadingZero = part.size() > 1 && part.front() == '0';
    return result.ec == std::errc() && result.ptr == end && value <= 255 && !leadingZero;
}

bool isHexGroup(std::string_view part)
{
    return !part.empty() && part.size() <= 4
           && std::all_of(part.begin(), part.end(),
                          [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::optional<std::size_t> countGroups(std::string_view text)
{
    return text.empty() ? std::optional<std::size_t>(0) : countParts(text, ':', isHexGroup);
}

bool isIpv6(std::string_view text)
{
    const auto gap = text.find("::");
    if (gap == std::string_view::npos)
        return countGroups(text) == ipv6Groups;
    const auto before = countGroups(text.substr(0, gap));
    const auto after = countGroups(text.substr(gap + 2));
    return before && after && *before + *after < ipv6Groups;
}

} // namespace

bool isIpNumber(std::string_view text)
{
    return countParts(text, '.', isDecimalByte) == ipv4Parts || isIpv6(text);
}

} // namespace shallotwalk
