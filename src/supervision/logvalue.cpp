#include "supervision/logvalue.h"

#include <algorithm>
#include <cctype>

namespace shallotwalk {

namespace {

bool isWordCharacter(unsigned char c)
{
    constexpr std::string_view punctuation = "-_./:,@*+#";
    return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
}

bool isPlainWord(std::string_view text)
{
    if (text.empty())
        return false;
    const bool number =
        std::all_of(text.begin(), text.end(),
                    [](unsigned char c) { return std::isdigit(c) != 0 || c == '.'; })
        || (text.front() == '-' && text.size() > 1
            && std::isdigit(static_cast<unsigned char>(text[1])) != 0);
    return !number && std::all_of(text.begin(), text.end(), isWordCharacter);
}

} // namespace

std::string logValue(std::string_view text)
{
    if (isPlainWord(text))
        return std::string(text);
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        // Control characters would break the line; their exact value does not matter in a log.
        quoted += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? ' ' : c;
    }
    return quoted + '"';
}

} // namespace shallotwalk
