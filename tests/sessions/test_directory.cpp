#include "core/core.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

ServerRegistration server(std::string id)
{
    ServerRegistration server;
    server.id = std::move(id);
    server.service = "bookings";
    return server;
}

OperatorConfiguration configuration(ConfigurationVersion version)
{
    auto tables = std::make_shared<Tables>();
    tables->version = version;
    return {std::move(tables), {}};
}

struct DirectoryFixture
{
    Directory directory;
    TimePoint now{std::chrono::seconds(1000)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(directory_entries, DirectoryFixture)

// Guards against a return to an older configuration after a slow listing or a stale answer.
BOOST_AUTO_TEST_CASE(older_configuration_is_ignored)
{
    BOOST_TEST(directory.configurationRead(configuration(7)));
    BOOST_TEST(!directory.configurationRead(configuration(6)));
    BOOST_TEST(!directory.configurationRead(configuration(7)));
    BOOST_TEST(directory.configuration()->tables->version == 7);
}

BOOST_AUTO_TEST_CASE(entry_that_vanishes_without_an_outage_is_removed)
{
    directory.serverSeen(server("a"));
    BOOST_TEST(directory.serverGone("a", now));
    BOOST_TEST(directory.servers().empty());
}

// Guards against losing all servers when their entries expire during an outage of the store.
BOOST_AUTO_TEST_CASE(entry_that_vanishes_around_an_outage_is_kept_for_a_time)
{
    directory.serverSeen(server("a"));
    directory.serverSeen(server("b"));
    directory.storeFailed(now);
    now += 5s;
    directory.storeAnswered(now);
    directory.beginListing();
    BOOST_TEST(!directory.endListing(now));
    BOOST_TEST(directory.servers().size() == 2);
    now += 1s;
    BOOST_TEST(directory.serverSeen(server("a"))); // It has registered again.
    now += 2s;
    BOOST_TEST(directory.expire(now));
    BOOST_REQUIRE(directory.servers().size() == 1);
    BOOST_TEST(directory.servers().front().id == "a");
}

BOOST_AUTO_TEST_CASE(nothing_expires_during_an_outage_of_the_store)
{
    directory.serverSeen(server("a"));
    directory.storeFailed(now);
    directory.serverGone("a", now);
    now += 60s;
    BOOST_TEST(!directory.expire(now));
    BOOST_TEST(directory.servers().size() == 1);
}

// Guards against a proxy that is counted for good after it has ended during an outage: the check
// for expired entries ran only if a server's entry was missing too, so that the others kept too
// small shares of the connections.
BOOST_AUTO_TEST_CASE(missing_entry_of_a_proxy_is_held)
{
    directory.proxySeen({"front-1", "nord", "10.0.0.1", 7440});
    directory.storeFailed(now);
    directory.proxyGone("front-1", now);
    BOOST_TEST(directory.heldCount() == 1U);
    directory.storeAnswered(now);
    BOOST_TEST(directory.expire(now + 3s));
    BOOST_TEST(directory.heldCount() == 0U);
    BOOST_TEST(directory.proxyCount() == 0U);
}

// Guards against losing a server that serves because another writer has overwritten its entry.
BOOST_AUTO_TEST_CASE(server_whose_entry_turns_invalid_is_kept_until_the_entry_is_removed)
{
    directory.serverSeen(server("a"));
    directory.serverInvalid("a");
    directory.serverInvalid("unknown");
    BOOST_TEST(directory.servers().size() == 1);
    directory.beginListing();
    directory.serverInvalid("a");
    BOOST_TEST(!directory.endListing(now));
    BOOST_TEST(directory.servers().size() == 1);
    BOOST_TEST(directory.serverGone("a", now));
    BOOST_TEST(directory.servers().empty());
}

// Guards against a log line at each heartbeat of an entry that can't be decoded.
BOOST_AUTO_TEST_CASE(invalid_entry_is_new_only_once)
{
    InvalidEntries invalid;
    BOOST_TEST(invalid.add("servers/a"));
    BOOST_TEST(!invalid.add("servers/a"));
    BOOST_TEST(invalid.add("servers/b"));
    BOOST_TEST(invalid.size() == 2);
    invalid.remove("servers/a");
    invalid.remove("servers/unknown");
    BOOST_TEST(invalid.add("servers/a"));
}

BOOST_AUTO_TEST_CASE(repeated_entry_is_no_change)
{
    BOOST_TEST(directory.serverSeen(server("a")));
    BOOST_TEST(!directory.serverSeen(server("a")));
    auto restarted = server("a");
    restarted.startedAt = 5;
    BOOST_TEST(directory.serverSeen(restarted));
}

BOOST_AUTO_TEST_CASE(promotion_with_the_highest_revision_counts)
{
    directory.promotionSeen({"bookings", "a", "x", "n", {1, 5}, 9});
    directory.promotionSeen({"bookings", "b", "y", "n", {1, 4}, 8});
    BOOST_REQUIRE(directory.promotions().size() == 1);
    BOOST_TEST(directory.promotions().front().server == "a");
}

// Guards against a promotion that is forgotten when the store goes back to a copy without its
// record: the older record that the copy holds is known to be older, and the newer one is to be
// written again.
BOOST_AUTO_TEST_CASE(promotion_outlives_the_loss_of_its_record)
{
    const PromotionRecord older{"bookings", "a", "x", "n1", {1, 5}, {20, 1}, 1, 1};
    const PromotionRecord newer{"bookings", "b", "y", "n2", {2, 9}, {30, 1}, 2, 2};
    directory.promotionSeen(older);
    directory.promotionSeen(newer);
    BOOST_TEST(directory.lostPromotions().empty());
    auto kept = older;
    kept.revision = {20, 2};
    BOOST_TEST(directory.promotionSeen(kept).server == "b");
    BOOST_REQUIRE(directory.lostPromotions().size() == 1);
    // The next record replaces the one that the store holds.
    BOOST_TEST((directory.lostPromotions().front().revision == StoreRevision(20, 2)));
    auto restored = newer;
    restored.revision = {25, 2};
    directory.promotionSeen(restored);
    BOOST_TEST(directory.lostPromotions().empty());
    BOOST_TEST((directory.promotions().front() == restored));
}

// Guards against a withdrawn order that counts again because the store has gone back to a copy with
// its record, and against a lost record that hides one of a proxy that didn't know it.
BOOST_AUTO_TEST_CASE(newer_of_two_promotions_is_known_over_eras)
{
    const PromotionRecord order{"bookings", "a", "x", "n1", {1, 5}, {30, 1}, 1, 3};
    const PromotionRecord withdrawn{"bookings", "", "x", "n1", {}, {31, 1}, 0, 4};
    directory.promotionSeen(order);
    directory.promotionSeen(withdrawn);
    auto again = order;
    again.revision = {30, 2};
    BOOST_TEST(directory.promotionSeen(again).server.empty());
    BOOST_TEST(directory.lostPromotions().size() == 1U);
    const PromotionRecord other{"bookings", "b", "y", "n2", {1, 6}, {29, 3}, 1, 4};
    BOOST_TEST(directory.promotionSeen(other).server == "b");
    BOOST_TEST(directory.lostPromotions().empty());
    BOOST_REQUIRE(directory.promotionGone("bookings", {0, 4}) != nullptr);
    BOOST_TEST(directory.lostPromotions().size() == 1U);
}

// Guards against servers and proxies that are dropped because the store has gone back to a copy
// that lacks them, before they have had time to register again.
BOOST_AUTO_TEST_CASE(entries_that_a_copy_of_the_store_lacks_are_kept_at_first)
{
    directory.serverSeen(server("a"));
    directory.proxySeen({"front-1", {}, {}, 0});
    directory.storeRestored(now);
    directory.beginListing();
    BOOST_TEST(!directory.endListing(now));
    BOOST_TEST(directory.servers().size() == 1U);
    BOOST_TEST(!directory.expire(now + 2s));
    BOOST_TEST(directory.expire(now + 3s));
    BOOST_TEST(directory.servers().empty());
    BOOST_TEST(directory.proxyCount() == 0U);
}

// Guards against suspicions whose cost for the store grows with the square of the number of
// proxies: only those of a few proxies count, the same ones on each proxy, and other ones for other
// services.
BOOST_AUTO_TEST_CASE(few_proxies_of_a_large_fleet_are_witnesses)
{
    for (int i = 0; i < 30; ++i)
        directory.proxySeen({"front-" + std::to_string(i), {}, {}, 0});
    const auto witnesses = directory.witnesses("bookings");
    BOOST_TEST(witnesses.size() == 7U);
    BOOST_TEST((directory.witnesses("rounds") != witnesses));
    for (int i = 0; i < 30; ++i)
        directory.suspicionSeen("bookings", "front-" + std::to_string(i), "p");
    BOOST_TEST(directory.suspicions("bookings", witnesses.front()).size() == 6U);
    // A witness that has left is replaced by another proxy.
    const std::string gone(witnesses.front());
    directory.proxyGone(gone, now);
    const auto later = directory.witnesses("bookings");
    BOOST_TEST(later.size() == 7U);
    BOOST_TEST((std::find(later.begin(), later.end(), gone) == later.end()));
}

BOOST_AUTO_TEST_SUITE_END()
