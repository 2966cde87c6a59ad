#include "databases/statementtext.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace shallotwalk {

namespace {

constexpr std::array<std::string_view, 21> sessionKeywords = {
    "ABORT",   "BEGIN", "CLOSE",    "COMMIT",    "COPY",   "DEALLOCATE", "DECLARE",
    "DISCARD", "END",   "EXECUTE",  "FETCH",     "LISTEN", "LOAD",       "PREPARE",
    "RELEASE", "RESET", "ROLLBACK", "SAVEPOINT", "SET",    "START",      "UNLISTEN",
};

/// Length of the comment that \a text begins with, or 0. Block comments nest in PostgreSQL.
std::size_t commentLength(std::string_view text)
{
    if (text.starts_with("--"))
        return std::min(text.find('\n'), text.size());
    if (!text.starts_with("/*"))
        return 0;
    std::size_t place = 2;
    for (int depth = 1; depth > 0 && place < text.size();) {
        const auto pair = text.substr(place, 2);
        const bool delimiter = pair == "/*" || pair == "*/";
        if (delimiter)
            depth += pair == "/*" ? 1 : -1;
        place += delimiter ? 2 : 1;
    }
    return place;
}

bool isSkipped(char letter)
{
    return std::isspace(static_cast<unsigned char>(letter)) != 0 || letter == '(' || letter == ';';
}

} // namespace

std::string firstKeyword(std::string_view sql)
{
    while (!sql.empty()) {
        const auto length = isSkipped(sql.front()) ? 1 : commentLength(sql);
        if (length == 0)
            break;
        sql.remove_prefix(length);
    }
    std::string word;
    for (const char letter : sql) {
        if (std::isalpha(static_cast<unsigned char>(letter)) == 0)
            break;
        word += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return word;
}

bool controlsSession(std::string_view sql)
{
    const auto word = firstKeyword(sql);
    return std::find(sessionKeywords.begin(), sessionKeywords.end(), word) != sessionKeywords.end();
}

} // namespace shallotwalk
