#include "core/core.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint start{std::chrono::seconds(1000)};

} // namespace

BOOST_AUTO_TEST_SUITE(watermarks)

// Guards against requiring a newer position than the staleness bound asks for, which leaves
// replicas unused.
BOOST_AUTO_TEST_CASE(oldest_position_within_the_bound_is_required)
{
    Watermarks marks;
    for (int i = 0; i < 10; ++i)
        marks.record({1, 100u + i}, start + i * 100ms);
    const auto required = marks.requiredPosition(start + 900ms, 500ms, {});
    BOOST_REQUIRE(required.has_value());
    BOOST_TEST((*required == Position{1, 104}));
}

// Guards against stale reads after a time in which no positions were recorded.
BOOST_AUTO_TEST_CASE(nothing_is_known_when_all_positions_are_too_old)
{
    Watermarks marks;
    marks.record({1, 100}, start);
    BOOST_TEST(!marks.requiredPosition(start + 501ms, 500ms, {}).has_value());
    BOOST_TEST(marks.requiredPosition(start + 500ms, 500ms, {}).has_value());
}

// Guards against a session whose reads no server can serve after a promotion: a session position of
// an older term may have been rolled back and is covered by any position of the newer term.
BOOST_AUTO_TEST_CASE(position_of_an_older_term_is_covered_by_the_newer_term)
{
    Watermarks marks;
    marks.record({1, 100}, start);
    marks.record({2, 90}, start + 100ms);
    const auto required = marks.requiredPosition(start + 200ms, 500ms, {1, 120});
    BOOST_REQUIRE(required.has_value());
    BOOST_TEST((*required == Position{2, 90}));
}

BOOST_AUTO_TEST_CASE(session_ahead_of_all_watermarks_needs_the_primary)
{
    Watermarks marks;
    marks.record({1, 100}, start);
    BOOST_TEST(!marks.requiredPosition(start, 500ms, {2, 101}).has_value());
}

// Guards against a former primary whose late answer brings the old term back.
BOOST_AUTO_TEST_CASE(older_term_is_ignored)
{
    Watermarks marks;
    marks.record({2, 90}, start);
    marks.record({1, 200}, start + 100ms);
    BOOST_TEST(marks.term() == 2);
    BOOST_TEST((marks.newestAt() == start));
}

BOOST_AUTO_TEST_CASE(newest_position_is_kept_when_old_ones_are_removed)
{
    Watermarks marks;
    marks.record({1, 100}, start);
    marks.record({1, 110}, start + 100ms);
    marks.removeBefore(start + 10s);
    BOOST_TEST(marks.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
