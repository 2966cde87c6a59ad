#include "support/oddentries.h"

namespace shallotwalk {

namespace {

constexpr std::size_t nestingDepth = 10'000;
constexpr std::size_t longTextBytes = std::size_t{1} << 20;

/// An entry that would be valid without its \a members, which come last and so replace earlier
/// ones.
std::string entryWith(const std::string &members)
{
    return R"({"service": "bookings", "address": "127.0.0.1:5000", "zone": "nord-a",)"
           R"( "slots": 2, "state": "ready", "born": 1, )"
           + members + "}";
}

/// An entry whose \a member has \a value, which is written as JSON.
OddEntry entryWith(const std::string &member, const std::string &value)
{
    return {member + " " + value, entryWith("\"" + member + "\": " + value)};
}

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

std::vector<OddEntry> oddServerEntries()
{
    const std::string longText(longTextBytes, 'x');
    std::vector<OddEntry> entries{
        {"nested arrays", repeated("[", nestingDepth) + repeated("]", nestingDepth)},
        {"nested arrays without an end", repeated("[", nestingDepth)},
        {"nested objects", repeated("{\"a\":", nestingDepth) + "1" + repeated("}", nestingDepth)},
        {"nested member",
         entryWith("\"slots\": " + repeated("[", nestingDepth) + repeated("]", nestingDepth))},
        {"unknown member that is nested", entryWith("\"x\": " + repeated("{\"a\":", nestingDepth)
                                                    + "1" + repeated("}", nestingDepth))},
        {"long service", entryWith("\"service\": 1, \"x\": \"" + longText + "\"")},
        {"long state", entryWith("\"state\": \"" + longText + "\"")},
        {"long address", entryWith("\"address\": \"" + longText + "\"")},
        {"not UTF-8", entryWith("\"zone\": \"\xff\xfe\"")},
        {"empty", ""},
        {"blank", " \n"},
        {"not JSON", "servers are fine"},
        {"truncated", R"({"service": "bookings", "addr)"},
        {"second document", entryWith("\"x\": 1") + "{}"},
        {"zero byte", std::string(1, '\0')},
        {"null", "null"},
        {"number", "17"},
        {"text", "\"bookings\""},
        {"array", "[]"},
        {"empty object", "{}"},
    };
    for (const std::string port : {"0", "65536", "-1", "99999999999999999999", "1e3", "", "http",
                                   "0x50", "80 ", " 80", "+80"})
        entries.push_back({"port " + port, entryWith("\"address\": \"127.0.0.1:" + port + "\"")});
    for (const std::string address : {"", "127.0.0.1", ":5000", "db-1:5000", "127.0.0.256:5000",
                                      "127.0.0.1:5000:1", "127.0.0.1\\r\\n:5000"})
        entries.push_back({"address " + address, entryWith("\"address\": \"" + address + "\"")});
    for (const std::string number : {"1e400", "-1e400", "1e30", "99999999999999999999", "-1", "0",
                                     "2.5", "\"2\"", "null", "[2]", "{}", "true"})
        entries.push_back(entryWith("slots", number));
    for (const std::string number :
         {"1e400", "1e30", "18446744073709551616", "-1", "1.5", "\"1\"", "null", "[]"})
        entries.push_back(entryWith("born", number));
    for (const std::string member : {"service", "address", "zone", "state"}) {
        for (const std::string value : {"null", "5", "[]", "{}", "\"\"", "true"})
            entries.push_back(entryWith(member, value));
    }
    entries.push_back({"unknown role", entryWith("\"db_role\": \"chief\"")});
    entries.push_back({"role of another type", entryWith("\"db_role\": 1")});
    entries.push_back(
        {"no address",
         R"({"service": "bookings", "zone": "nord-a", "slots": 2, "state": "ready"})"});
    entries.push_back({"no service", R"({"address": "127.0.0.1:5000", "zone": "z", "slots": 2,)"
                                     R"( "state": "ready"})"});
    return entries;
}

} // namespace shallotwalk
