#include "sessions/fleetmodel.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;

namespace {

/// The plain rule for comparison: each proxy keeps a connection to each server, whatever the limit,
/// and tries again at a fixed delay.
ConnectionAllotment allotOneEach(std::size_t limit, std::size_t proxies)
{
    ConnectionAllotment allotment;
    allotment.share = std::max<std::size_t>((limit - limit / 4) / proxies, 1);
    allotment.burst = 3;
    return allotment;
}

double servedShare(const FleetModelOutcome &outcome)
{
    return static_cast<double>(outcome.inTime) / static_cast<double>(outcome.requests);
}

} // namespace

BOOST_AUTO_TEST_SUITE(large_fleet)

// Guards against a fleet with more proxies than a server takes connections, where the proxies that
// start first keep all connections and the others refuse every request, although the servers are
// idle: 78 proxies, 58 connections, less than a third of the slots in use.
BOOST_AUTO_TEST_CASE(fleet_larger_than_the_connection_limit_is_served)
{
    FleetModelSettings plainSettings;
    plainSettings.allot = allotOneEach;
    plainSettings.sharingDelay = Duration::zero();
    FleetModel plain(plainSettings);
    plain.run(20s);
    FleetModel fleet(FleetModelSettings{});
    fleet.run(20s);
    const auto outcome = fleet.outcome();
    BOOST_TEST(servedShare(plain.outcome()) < 0.9);
    // No request is refused for want of a connection while a server has a free slot.
    BOOST_TEST(outcome.refused == 0U);
    BOOST_TEST(outcome.otherErrors == 0U);
    BOOST_TEST(servedShare(outcome) > 0.99);
    // The attempts to connect don't grow beyond the requests that need one.
    BOOST_TEST(fleet.openings() < 2 * outcome.requests);
    BOOST_TEST(fleet.openings() < plain.openings());
    BOOST_TEST(fleet.refusedOpenings() <= 23U * 3 * 40); // 40 a second and server, for 23 s.
    BOOST_TEST(fleet.mostConnections(0) <= 58U);
    // Replicas serve most reads, in the region of each proxy.
    BOOST_TEST(fleet.statements(1) + fleet.statements(2) > outcome.requests / 3);
    BOOST_TEST(fleet.probes() < plain.probes() / 4);
}

// Guards against far proxies that get no connection because near ones are faster.
BOOST_AUTO_TEST_CASE(near_and_far_proxies_are_served_alike)
{
    FleetModel fleet(FleetModelSettings{}, 2);
    fleet.run(20s);
    for (std::size_t region = 0; region < 3; ++region) {
        FleetModelOutcome sum;
        for (std::size_t proxy = region; proxy < 78; proxy += 3) {
            sum.requests += fleet.outcome(proxy).requests;
            sum.inTime += fleet.outcome(proxy).inTime;
        }
        BOOST_TEST(servedShare(sum) > 0.99, "region " << region);
    }
}

// Guards against the same at a multiple of that size, where a connection can hardly be kept
// between two requests.
BOOST_AUTO_TEST_CASE(fleet_five_times_the_connection_limit_is_served)
{
    FleetModelSettings settings;
    settings.proxies = 300;
    FleetModel fleet(settings, 3);
    fleet.run(10s);
    const auto outcome = fleet.outcome();
    BOOST_TEST(outcome.refused == 0U);
    BOOST_TEST(servedShare(outcome) > 0.99);
    BOOST_TEST(fleet.openings() < 2 * outcome.requests + 300);
}

// Guards against callers that wait for their deadline while all connections are taken: what can't
// be served is refused at once, and what is refused has not run.
BOOST_AUTO_TEST_CASE(overload_is_refused_early)
{
    FleetModelSettings settings;
    settings.requestsPerSecond = 1500; // The servers can run about 1,000 a second.
    FleetModel fleet(settings, 4);
    fleet.run(10s);
    const auto outcome = fleet.outcome();
    BOOST_TEST(outcome.otherErrors == 0U);
    BOOST_TEST(outcome.served + outcome.refused > outcome.requests * 9 / 10);
    BOOST_TEST(static_cast<double>(outcome.refusedLate)
               < 0.1 * static_cast<double>(outcome.requests));
}

// Guards against replicas that get no reads because only a few proxies know the primary's position,
// and against all proxies asking for it when those that do so have gone silent.
BOOST_AUTO_TEST_CASE(without_sharing_the_primary_serves_what_replicas_may_not)
{
    FleetModelSettings settings;
    settings.sharingDelay = Duration::zero();
    FleetModel fleet(settings, 5);
    fleet.run(10s);
    const auto outcome = fleet.outcome();
    BOOST_TEST(servedShare(outcome) > 0.95);
    BOOST_TEST(outcome.otherErrors == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
