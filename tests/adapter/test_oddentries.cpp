#include "platform/platform.h"
#include "support/oddentries.h"
#include "support/printrevision.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace shallotwalk::platform;

namespace {

/// Longest acceptable message, since messages are written to the log.
constexpr std::size_t maxMessageBytes = 400;

/// The message of the failure of \a call; empty if it succeeds.
template<class Call>
std::string failureOf(Call call)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(call());
            return std::string();
        },
        [](const Failure &failure) { return failure.message; }, [] { return std::string("?"); });
}

void checkMessage(const std::string &name, const std::string &message)
{
    BOOST_TEST(!message.empty(), name + " was accepted");
    BOOST_TEST(message != "?", name + " failed without a message");
    BOOST_TEST(message.size() <= maxMessageBytes,
               name + " has a message of " + std::to_string(message.size()) + " bytes");
}

HttpResponse okResponse(std::string body)
{
    HttpResponse response;
    response.status = 200;
    response.body = std::move(body);
    return response;
}

constexpr std::string_view validEntry =
    R"({"service": "bookings", "address": "127.0.0.1:5000", "zone": "nord-a", "slots": 2.0,)"
    R"( "state": "ready", "born": 1, "x": [1e400, {"y": -1}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// Guards against one entry of another writer that ends the process, is taken for a database, or
// fills the log.
BOOST_AUTO_TEST_CASE(each_odd_entry_of_a_server_is_refused_with_a_short_reason)
{
    for (const auto &[name, value] : oddServerEntries()) {
        const std::string text = value;
        checkMessage(name, failureOf([&] { return Documents().decodeServer("db-x", text); }));
    }
    BOOST_TEST(failureOf([] { return Documents().decodeServer("db-x", validEntry); }) == "");
}

// Guards against a server's id that would add a line of its own to what is sent to the server.
BOOST_AUTO_TEST_CASE(id_that_is_no_word_is_refused)
{
    for (const std::string &id :
         {std::string(), std::string("a b"), std::string("a\r\nQUERY x"), std::string("a\0b", 3),
          std::string("\xff"), std::string(300, 'i')})
        checkMessage("id", failureOf([&] { return Documents().decodeServer(id, validEntry); }));
}

// Guards against a configuration or a settings file that ends the process instead of being refused.
BOOST_AUTO_TEST_CASE(odd_configuration_and_settings_are_refused)
{
    for (const auto &[name, value] : oddServerEntries()) {
        const std::string text = value;
        checkMessage(name, failureOf([&] { return Documents().decodeConfiguration(text); }));
        BOOST_TEST(failureOf([&] { return decodeSettings(text); }) != "", name);
    }
    for (const std::string version :
         {"0", "-1", "1e400", "\"7\"", "null", "18446744073709551616"}) {
        const auto text = R"({"version": )" + version + R"(, "routes": [], "services": []})";
        checkMessage(version, failureOf([&] { return Documents().decodeConfiguration(text); }));
    }
}

// Guards against a page or a watch that is given up, again and again, because of one of its items.
BOOST_AUTO_TEST_CASE(item_that_cannot_be_read_does_not_spoil_the_others)
{
    const std::string items =
        R"([{"key": "servers/a", "value": "no base64!", "revision": 5},)"
        R"( {"key": "servers/b", "value": 7, "revision": 6}, {"value": "e30=", "revision": 7},)"
        R"( {"key": "servers/c", "value": "e30=", "revision": 1e400}, 5,)"
        R"( {"key": "servers/d", "value": "e30=", "revision": 8}])";
    const auto page = boost::leaf::try_handle_all(
        [&] {
            return StoreCalls().decodePage(
                okResponse(R"({"items": )" + items + R"(, "store_revision": 9})"));
        },
        [] { return StorePage{}; });
    const auto changes = boost::leaf::try_handle_all(
        [&] {
            return StoreCalls().decodeChanges(
                okResponse(R"({"events": )" + items + R"(, "store_revision": 9})"));
        },
        [] { return StoreChanges{}; });
    BOOST_TEST(page.revision == 9);
    BOOST_TEST(changes.revision == 9);
    // Items with a key stay, with an empty value, so that the key counts as present.
    BOOST_REQUIRE(page.items.size() == 4);
    BOOST_REQUIRE(changes.changes.size() == 4);
    BOOST_TEST(page.items[0].key == "servers/a");
    BOOST_TEST(page.items[0].value == "");
    BOOST_TEST(page.items[1].value == "");
    BOOST_TEST(page.items[3].key == "servers/d");
    BOOST_TEST(page.items[3].value == "{}");
    BOOST_TEST(changes.changes[3].item.value == "{}");
}

// Guards against a listing that never succeeds because a key holds bytes that are not UTF-8.
BOOST_AUTO_TEST_CASE(key_that_is_not_utf8_does_not_spoil_the_answer)
{
    const auto body = std::string(R"({"items": [{"key": "servers/)") + "\xff\xfe"
                      + R"(", "value": "e30=", "revision": 3}], "store_revision": 9})";
    BOOST_TEST(failureOf([&] { return StoreCalls().decodePage(okResponse(body)); }) == "");
}

BOOST_AUTO_TEST_SUITE_END()
