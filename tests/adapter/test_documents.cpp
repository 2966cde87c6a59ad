#include "gateway/registryrecords.h"
#include "platform/platform.h"
#include "support/printrevision.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace shallotwalk::platform;
using namespace std::chrono_literals;

namespace {

/// Returns the value of \a call, or throws std::runtime_error with the message of its failure.
template<class Value, class Call>
Value expect(Call call)
{
    return boost::leaf::try_handle_all(
        call, [](const Failure &failure) -> Value { throw std::runtime_error(failure.message); },
        []() -> Value { throw std::runtime_error("unknown failure"); });
}

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

HttpResponse response(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

constexpr std::string_view settingsText = R"({
    "node_name": "front-nord-a-1", "zone": "nord-a", "unknown": {"x": [1]},
    "listen": {"front": "10.1.0.8:8784", "ready": "10.1.0.8:8785"},
    "internal_ports": [7440, 7455],
    "limits": {"cpu_share": 0.38, "max_fds": 6300},
    "bounds": {"grace_s": 6, "fencing_required": true},
    "platform": {"address": "10.200.1.7:8783"}, "cloud_api": {"address": "10.200.0.160:8783"}})";

} // namespace

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(configuration_is_decoded_into_tables)
{
    const auto configuration = expect<OperatorConfiguration>([] {
        return Documents().decodeConfiguration(R"({"version": 7, "routes": [
            {"name": "r-1", "host": "slots", "prefix": "/", "route_type": "bounded_staleness",
             "timeout_ms": 1500, "goal_ms": 600, "priority": 2, "service": "bookings",
             "max_attempts": 2, "max_staleness_ms": 1500},
            {"name": "r-2", "host": "rounds", "route_type": "primary", "timeout_ms": 800.0,
             "service": "bookings", "max_staleness_ms": 900}],
          "services": [{"name": "bookings", "max_conns": 16, "sync_replicas": 1}],
          "limits": {"tx_idle_ms": 3000}})");
    });
    const auto &tables = *configuration.tables;
    BOOST_TEST(tables.version == 7);
    BOOST_REQUIRE(tables.routes.size() == 2);
    BOOST_TEST(tables.routes[0].database == "slots");
    BOOST_TEST((tables.routes[0].maxStaleness == 1500ms));
    BOOST_TEST((tables.routes[0].goal == 600ms));
    BOOST_TEST(tables.routes[0].priority == 2);
    // Reads of a primary route see every commit, so max_staleness_ms is ignored.
    BOOST_TEST((tables.routes[1].maxStaleness == 0ms));
    BOOST_TEST((tables.routes[1].timeout == 800ms));
    BOOST_TEST(tables.pools[0].connectionLimit == 16);
    BOOST_TEST(tables.pools[0].confirmReplicas == 1);
    BOOST_TEST((configuration.transactionIdleLimit == 3s));
}

namespace {

/// The teams of a configuration whose member "tenants" is \a list.
OperatorConfiguration configurationWith(const std::string &list)
{
    static std::string text;
    text = R"({"version": 7, "routes": [], "services": [], "tenants": )" + list + "}";
    return expect<OperatorConfiguration>([] { return Documents().decodeConfiguration(text); });
}

} // namespace

BOOST_AUTO_TEST_CASE(teams_are_decoded_with_digests_of_their_keys)
{
    const auto configuration = configurationWith(
        R"([{"name": "dock", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 26.5,
             "burst": 30}, {"name": "desk", "api_keys": ["k3"]}])");
    const auto &teams = configuration.tables->teams;
    BOOST_REQUIRE(teams != nullptr);
    const auto *dock = teams->findByKey(digestOfKey("k2"));
    BOOST_REQUIRE(dock != nullptr);
    BOOST_TEST(dock->name == "dock");
    BOOST_TEST(dock->priority == 1U);
    BOOST_TEST((dock->quota == Quota{26.5, 30}));
    BOOST_TEST(!teams->findByKey(digestOfKey("k3"))->quota.has_value());
    BOOST_TEST(configuration.ignoredTeams.empty());
}

// Guards against an entry of a team that costs the others, or opens the door to its callers.
BOOST_AUTO_TEST_CASE(invalid_team_costs_only_itself)
{
    for (const std::string entry :
         {R"({"name": "bad", "api_keys": ["k1"], "rate_per_s": 0})",
          R"({"name": "bad", "api_keys": ["k1"], "rate_per_s": -4})",
          R"({"name": "bad", "api_keys": ["k1"], "rate_per_s": 1e400})",
          R"({"name": "bad", "api_keys": ["k1"], "rate_per_s": "5"})",
          R"({"name": "bad", "api_keys": ["k1"], "burst": 5})",
          R"({"name": "bad one", "api_keys": ["k1"]})",
          R"({"name": "b\u0007", "api_keys": ["k1"]})", R"({"name": "", "api_keys": ["k1"]})",
          R"({"name": "bad", "api_keys": [5, "k1"]})", R"({"name": "bad", "api_keys": "k1"})",
          R"({"name": "bad"})", R"({"api_keys": ["k1"]})", R"(["k1"])", R"("k1")", "null", "5"}) {
        const auto list = "[" + entry + R"(, {"name": "good", "api_keys": ["k2"]}])";
        const auto configuration = configurationWith(list);
        const auto &teams = *configuration.tables->teams;
        BOOST_TEST((teams.findByKey(digestOfKey("k1")) == nullptr), entry);
        BOOST_TEST((teams.findByKey(digestOfKey("k2")) != nullptr), entry);
        BOOST_TEST(configuration.ignoredTeams.size() == 1U, entry);
    }
    const auto decode = [](std::string_view text) {
        return failureOf([&] { return Documents().decodeConfiguration(text); });
    };
    BOOST_TEST(decode(R"({"version": 7, "tenants": {"name": "a"}})")
               == "tenants: must be an array of objects");
}

// Guards against a key that reaches another proxy, a log or a dump: only its digest is kept.
BOOST_AUTO_TEST_CASE(keys_are_replaced_by_digests_wherever_they_stand)
{
    static std::string text;
    text = R"({"version": 7, "tenants": [{"name": "a", "api_keys": ["secret-1", "secret-2"]},
               {"name": "b", "api_keys": "secret-3"}, {"name": "c", "api_keys": {"x": "secret-4"}},
               "secret-5", {"name": "d", "api_keys": ["ok", ["secret-6"]]}]})";
    const auto replace = [] { return Documents().withoutKeys(text); };
    const auto replaced = expect<std::string>(replace);
    BOOST_TEST(replaced.find("secret") == std::string::npos);
    BOOST_TEST(replaced.find(toText(digestOfKey("secret-1"))) != std::string::npos);
    // What another proxy has replaced stays as it is.
    text = replaced;
    BOOST_TEST(expect<std::string>(replace) == replaced);
    text = R"({"version": 7, "tenants": {"a": "secret-7"}})";
    BOOST_TEST(expect<std::string>(replace).find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(entry_of_a_server_is_decoded)
{
    const auto server = expect<ServerRegistration>([] {
        return Documents().decodeServer("i-7f3a91c2",
                                        R"({"service": "bookings", "address": "10.128.0.9:8080",
            "zone": "nord-a", "version": "v1", "slots": 2, "state": "draining", "cold_left_ms": 0,
            "db_role": "primary", "seq_no": 4, "born": 1770000000000})");
    });
    BOOST_TEST(server.id == "i-7f3a91c2");
    BOOST_TEST(server.host == "10.128.0.9");
    BOOST_TEST(server.port == 8080);
    BOOST_TEST(server.leaving);
    BOOST_TEST(server.primary);
    BOOST_TEST(server.startedAt == 1770000000000);
}

// Guards against a malformed entry of another program in the store that the proxy uses as a server.
BOOST_AUTO_TEST_CASE(invalid_server_entries_are_refused_with_the_member)
{
    const auto decode = [](std::string_view text) {
        return failureOf([&] { return Documents().decodeServer("i", text); });
    };
    BOOST_TEST(decode("not json") != "");
    BOOST_TEST(decode("[]") == ": must be an object");
    BOOST_TEST(decode(R"({"service": "s", "address": "10.0.0.1:1", "zone": "z"})").find("state")
               == 0);
    BOOST_TEST(decode(R"({"service": "s", "address": "host:1", "zone": "z", "state": "ready"})")
               == "address: must be an IP address with a port");
    BOOST_TEST(decode(R"({"service": 5, "address": "10.0.0.1:1", "zone": "z", "state": "ready"})")
                   .find("service")
               == 0);
    BOOST_TEST(
        decode(R"({"service": "s", "address": "10.0.0.1:1", "zone": "z", "state": "resting"})")
            .find("state")
        == 0);
}

BOOST_AUTO_TEST_CASE(settings_file_is_decoded_and_unknown_members_ignored)
{
    const auto settings = expect<GatewaySettings>([] { return decodeSettings(settingsText); });
    BOOST_TEST(settings.vm == "front-nord-a-1");
    BOOST_TEST(settings.clients.port == 8784);
    BOOST_TEST(settings.readiness.port == 8785);
    BOOST_TEST(settings.administration.port == 7440);
    BOOST_TEST(settings.store.host == "10.200.1.7");
    BOOST_TEST((settings.shutdownGrace == 6s));
    BOOST_TEST(settings.descriptorLimit == 6300);
}

BOOST_AUTO_TEST_CASE(all_problems_of_the_settings_file_are_reported)
{
    const auto message = failureOf([] {
        return decodeSettings(R"({"node_name": "", "zone": "z", "listen": {"front": "here"},
                                  "platform": {"address": 5}})");
    });
    BOOST_TEST(message.find("node_name: must not be empty") != std::string::npos);
    BOOST_TEST(message.find("listen.front: \"here\" is not an IP address with a port")
               != std::string::npos);
    BOOST_TEST(message.find("listen.ready: ") != std::string::npos);
    BOOST_TEST(message.find("platform.address: ") != std::string::npos);
    BOOST_TEST(message.find("cloud_api: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(store_answers_are_decoded)
{
    const auto changes = expect<StoreChanges>([] {
        return StoreCalls().decodeChanges(
            response(200, R"({"events": [{"key": "a", "value": "bm9kZS0x", "revision": 412,
            "create_rev": 412, "lease": 7}, {"key": "b", "revision": 413, "deleted": true}],
            "store_revision": 413})"));
    });
    BOOST_REQUIRE(changes.changes.size() == 2);
    BOOST_TEST(changes.changes[0].item.value == "node-1");
    BOOST_TEST(changes.changes[1].deleted);
    BOOST_TEST(changes.revision == 413);
    const auto lost =
        expect<StoreChanges>([] { return StoreCalls().decodeChanges(response(410, "")); });
    BOOST_TEST(lost.historyLost);
}

// Guards against revisions of different eras of the store that are taken for comparable, and
// against an answer without an era, as older stores give it, that can't be read.
BOOST_AUTO_TEST_CASE(revisions_carry_the_era_of_the_store)
{
    auto answer = response(200, R"({"events": [{"key": "a", "value": "", "revision": 412}],
                                    "store_revision": 413})");
    const auto without = expect<StoreChanges>([&] { return StoreCalls().decodeChanges(answer); });
    BOOST_TEST((without.revision == StoreRevision(413)));
    answer.headers = {{"store-era", "2"}};
    const auto changes = expect<StoreChanges>([&] { return StoreCalls().decodeChanges(answer); });
    BOOST_TEST((changes.revision == StoreRevision(413, 2)));
    BOOST_TEST((changes.changes[0].item.modRevision == StoreRevision(412, 2)));
    BOOST_TEST((changes.revision > StoreRevision(500, 1)));
    for (const auto *era : {"", "x", "-1", "1 2", "99999999999999999999"}) {
        answer.headers = {{"Store-Era", era}};
        BOOST_TEST(failureOf([&] { return StoreCalls().decodeChanges(answer); }) != "");
    }
}

// Guards against an error response of the store that is treated as an empty answer.
BOOST_AUTO_TEST_CASE(errors_of_the_store_are_failures)
{
    for (const unsigned status : {429u, 503u, 500u}) {
        BOOST_TEST(failureOf([&] { return StoreCalls().decodePage(response(status, "{}")); })
                   == "the store answered with status " + std::to_string(status));
        BOOST_TEST(failureOf([&] { return StoreCalls().decodeWrite(response(status, "{}")); })
                   != "");
        BOOST_TEST(failureOf([&] { return StoreCalls().decodeRenewal(response(status, "{}")); })
                   != "");
    }
}

BOOST_AUTO_TEST_CASE(conditional_write_reports_the_present_item)
{
    const auto conflict = expect<StoreWrite>([] {
        return StoreCalls().decodeWrite(
            response(412, R"({"items": [{"key": "a", "value": "bm9kZS0x", "revision": 9}]})"));
    });
    BOOST_TEST(!conflict.written);
    BOOST_REQUIRE(conflict.conflictingItem.has_value());
    BOOST_TEST(conflict.conflictingItem->modRevision == 9);
    const auto call = StoreCalls().write("a b", "node-1", 7, 0);
    BOOST_TEST(call.body
               == R"({"expected_rev":[{"key":"a b","revision":0}],)"
                  R"("writes":[{"key":"a b","value":"bm9kZS0x","lease":7}],"deletes":[]})");
    BOOST_TEST(StoreCalls().read("a b").target == "/shallotwalk/kv-key?key=a%20b");
}

BOOST_AUTO_TEST_CASE(promotion_carries_holder_and_token)
{
    const auto call = PromotionCalls().promote("bookings", "i-1", "front-1", 42);
    BOOST_TEST(call.target == "/promote");
    BOOST_TEST(call.body == R"({"service":"bookings","id":"i-1"})");
    BOOST_TEST(call.headers[0].second == "front-1");
    BOOST_TEST(call.headers[1].second == "42");
    BOOST_TEST((PromotionCalls().decodeAnswer(response(200, "")) == PromotionAnswer::Accepted));
    BOOST_TEST((PromotionCalls().decodeAnswer(response(409, "")) == PromotionAnswer::Refused));
    BOOST_TEST((PromotionCalls().decodeAnswer(response(503, "")) == PromotionAnswer::NoAnswer));
}

// Guards against a promotion record with fields that another version of this program can't read.
BOOST_AUTO_TEST_CASE(encoded_promotion_record_decodes_to_the_same_record)
{
    const auto record = expect<PromotionRecord>([] {
        return decodePromotion(
            encodePromotion({"bookings", "i-1", "front-1", "n", {2, 130}, 0, 3, 7, {2, 128}}), 42);
    });
    BOOST_TEST(
        (record
         == PromotionRecord{"bookings", "i-1", "front-1", "n", {2, 130}, 42, 3, 7, {2, 128}}));
    // Versions before wrote no ended term, no number and no floor.
    const auto old = expect<PromotionRecord>([] {
        return decodePromotion(R"({"service": "bookings", "server": "i-1", "holder": "front-1",
                                   "nonce": "n", "term": 2, "position": 130})",
                               42);
    });
    BOOST_TEST(old.endedTerm == 2U);
    BOOST_TEST(old.number == 0U);
    BOOST_TEST((old.floor == Position{2, 130}));
}

BOOST_AUTO_TEST_SUITE_END()
