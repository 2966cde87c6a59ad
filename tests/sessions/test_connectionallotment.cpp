#include "core/core.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(connection_allotment)

BOOST_AUTO_TEST_CASE(small_fleet_shares_three_quarters_of_the_limit)
{
    const auto allotment = allotConnections(16, 4);
    BOOST_TEST(allotment.share == 3U);
    BOOST_TEST(allotment.burst == 3U);
    BOOST_TEST(allotment.standing);
    BOOST_TEST((allotment.idleLimit == 1500ms));
    BOOST_TEST((allotment.longestRetryDelay == 100ms));
    BOOST_TEST(allotConnections(146, 4).burst == 27U);
    BOOST_TEST(allotConnections(16, 0).share == 12U);
}

// Guards against a proxy that keeps a connection for itself where there isn't one for each.
BOOST_AUTO_TEST_CASE(fleet_larger_than_the_limit_keeps_no_connection)
{
    BOOST_TEST(allotConnections(46, 17).standing);
    // 30 proxies that lost power would leave 12 of 46 connections to their successors.
    BOOST_TEST(!allotConnections(46, 30).standing);
    const auto scarce = allotConnections(58, 78);
    const auto scarcer = allotConnections(58, 300);
    BOOST_TEST(!scarce.standing);
    BOOST_TEST(scarce.share == 1U);
    BOOST_TEST((scarce.idleLimit <= 500ms));
    BOOST_TEST((scarcer.idleLimit < scarce.idleLimit));
    BOOST_TEST((allotConnections(1, 100'000).idleLimit > 0ms));
}

// Guards against attempts to connect to a full server that grow with the fleet.
BOOST_AUTO_TEST_CASE(attempts_of_the_whole_fleet_are_bounded)
{
    for (const std::size_t proxies : {4U, 30U, 78U, 200U}) {
        const std::chrono::duration<double> delay = allotConnections(58, proxies).longestRetryDelay;
        BOOST_TEST(static_cast<double>(proxies) / delay.count() <= 40.5);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(opening_backoff)

// Guards against connection attempts at a fixed delay for ever: 78 proxies reset 230,000
// connections of 60 servers in 35 s.
BOOST_AUTO_TEST_CASE(delay_grows_with_each_refusal_and_differs_between_proxies)
{
    ConnectionBudgetSettings settings{10, 2, 100ms, 2000ms, 1};
    ConnectionBudget first(settings);
    settings.randomSeed = 2;
    ConnectionBudget second(settings);
    TimePoint now{std::chrono::seconds(1000)};
    Duration last{0};
    bool differs = false;
    for (unsigned failures = 1; failures <= 12; ++failures) {
        const auto step = first.acquire("db", now);
        BOOST_REQUIRE(std::holds_alternative<OpenConnection>(step));
        first.closed(std::get<OpenConnection>(step).id, true, now);
        second.closed(std::get<OpenConnection>(second.acquire("db", now)).id, true, now);
        const auto delay = first.retryAt("db") - now;
        BOOST_TEST((delay <= 2000ms));
        BOOST_TEST((delay >= 50ms));
        differs = differs || second.retryAt("db") != first.retryAt("db");
        last = delay;
        now += 5s;
    }
    BOOST_TEST((last >= 1000ms));
    BOOST_TEST(differs);
    // An accepted connection starts the series anew.
    const auto id = std::get<OpenConnection>(first.acquire("db", now)).id;
    first.opened(id, now);
    first.closed(id, true, now);
    BOOST_TEST((first.retryAt("db") - now <= 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
