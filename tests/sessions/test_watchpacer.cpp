#include "core/core.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

/// Plays \a changes of the store at equal intervals over \a period. Returns the number of watches
/// that one proxy of \a proxies makes for them, and the longest time until one was known.
std::pair<std::size_t, Duration> play(std::size_t proxies, std::size_t changes, Duration period)
{
    const TimePoint start{std::chrono::seconds(1000)};
    const auto timeOf = [&](std::size_t change) {
        const auto count = static_cast<Duration::rep>(changes);
        return start + period * static_cast<Duration::rep>(change) / count;
    };
    WatchPacer pacer;
    pacer.setProxies(proxies);
    std::size_t watches = 0;
    Duration longest{0};
    TimePoint watchStart = start;
    for (std::size_t change = 0; change < changes;) {
        const auto at = timeOf(change);
        const auto answered = std::max(at, watchStart);
        longest = std::max<Duration>(longest, answered - at);
        while (change < changes && timeOf(change) <= answered)
            ++change;
        ++watches;
        watchStart = pacer.changed(watchStart, answered);
    }
    return {watches, longest};
}

} // namespace

BOOST_AUTO_TEST_SUITE(watch_pacer)

// Guards against store calls that grow with proxies times changes: when 60 servers register within
// 3 s, each of 78 proxies made about 45 calls.
BOOST_AUTO_TEST_CASE(many_changes_share_a_watch_in_a_large_fleet)
{
    const auto [watches, longest] = play(78, 60, 3s);
    BOOST_TEST(watches <= 15U);
    BOOST_TEST((longest <= 400ms));
    BOOST_TEST((play(2600, 1000, 3s).second <= 500ms));
}

// Guards against a change of primary that becomes known late.
BOOST_AUTO_TEST_CASE(few_changes_are_known_without_delay)
{
    for (const std::size_t proxies : {4U, 30U, 78U, 2600U})
        BOOST_TEST((play(proxies, 5, 1s).second == 0ms));
    // A small fleet takes every change soon.
    BOOST_TEST((play(4, 200, 3s).second <= 50ms));
}

// Guards against a large fleet whose refused calls are the larger part of its calls to the store.
BOOST_AUTO_TEST_CASE(failed_calls_of_a_large_fleet_are_repeated_less_often)
{
    WatchPacer pacer;
    BOOST_TEST((pacer.failed() == 250ms));
    BOOST_TEST((pacer.failed() == 250ms)); // A single proxy may ask often.
    pacer.succeeded();
    pacer.setProxies(78);
    BOOST_TEST((pacer.failed() == 250ms));
    BOOST_TEST((pacer.failed() == 500ms));
    for (int i = 0; i < 40; ++i)
        BOOST_TEST((pacer.failed() <= 1000ms));
    pacer.succeeded();
    BOOST_TEST((pacer.failed() == 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
