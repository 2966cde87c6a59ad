#include "gateway/gateway.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(shutdown_times)

// Guards against steps that leave no time for the one before, whatever the grace is.
BOOST_AUTO_TEST_CASE(steps_follow_each_other_within_the_grace)
{
    for (const Duration grace : {1s, 2s, 6s, 60s, 600s}) {
        const auto times = ShutdownTimes::within(grace);
        BOOST_TEST(times.closeIdle.count() <= times.closeAll.count());
        // An open transaction has the first half of the grace, and no statement follows it.
        BOOST_TEST(times.closeAll.count() == (grace / 2).count());
        BOOST_TEST(times.abandon.count() < times.exit.count());
        BOOST_TEST(times.exit.count() < grace.count());
        // A server that is still at work in the last sixth is the only one that isn't awaited.
        BOOST_TEST(times.exit.count() >= (grace * 5 / 6).count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
