#include "core/feedrole.h"
#include "core/watcherselection.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1000s};

/// A VM of a data centre with eight members that follows the first of the two watchers.
struct Follower
{
    std::vector<CandidateVm> members;
    std::string first;
    std::string second;
    std::optional<FeedRole> role;
    TimePoint now = start;

    Follower()
    {
        for (int i = 1; i <= 8; ++i)
            members.push_back({"vm" + std::to_string(i), "dc"});
        const auto watchers = selectWatchers("dc", members);
        for (const auto &member : members) {
            role.emplace(member);
            role->updateMembers(members, {}, now);
            first = role->source();
            if (role->mode() == FeedMode::Follower)
                break;
        }
        second = watchers[0] == first ? watchers[1] : watchers[0];
    }

    void answer(FeedAnswer answer) { role->answered(role->source(), answer, now); }

    /// Lets time pass without an answer; the VMs that were asked.
    std::vector<std::string> passUnanswered(Duration duration)
    {
        std::vector<std::string> asked;
        for (const auto end = now + duration;; now += 100ms) {
            role->tick(now);
            while (const auto ask = role->takeAsk(now))
                asked.push_back(ask->vm);
            if (now >= end)
                return asked;
        }
    }

    void remove(std::string_view vm)
    {
        std::erase_if(members, [&](const auto &member) { return member.vm == vm; });
        role->updateMembers(members, {}, now);
    }
};

} // namespace

// Guards against more than two VMs of a data centre that watch, and against followers that all
// burden the same watcher.
BOOST_AUTO_TEST_CASE(followers_are_spread_over_two_watchers)
{
    std::vector<CandidateVm> members;
    members.reserve(200);
    for (int i = 0; i < 200; ++i)
        members.push_back({"vm" + std::to_string(i), i < 198 ? "large" : "small"});
    std::map<std::string, int> followers;
    int watchers = 0;
    for (const auto &member : members) {
        FeedRole role(member);
        role.updateMembers(members, {}, start);
        watchers += role.mode() == FeedMode::Watcher ? 1 : 0;
        if (!role.source().empty())
            ++followers[role.source()];
    }
    BOOST_CHECK_EQUAL(watchers, 4);
    BOOST_REQUIRE_EQUAL(followers.size(), 2U);
    for (const auto &[vm, count] : followers)
        BOOST_CHECK_GT(count, 70);
}

// Guards against a gap in the updates while a VM becomes a follower: it watches until a watcher
// that watches has answered.
BOOST_AUTO_TEST_CASE(watch_ends_with_first_answer)
{
    Follower follower;
    BOOST_CHECK(follower.role->watchesStore());
    BOOST_REQUIRE(follower.role->takeAsk(start));
    follower.answer(FeedAnswer::WatchLost);
    BOOST_CHECK(follower.role->watchesStore());
    BOOST_CHECK_EQUAL(follower.role->source(), follower.second);
    const auto ask = follower.role->takeAsk(start);
    BOOST_REQUIRE(ask && !ask->hold);
    follower.answer(FeedAnswer::Watching);
    BOOST_CHECK(!follower.role->watchesStore());
    BOOST_CHECK(follower.role->isCurrent());
    BOOST_CHECK(follower.role->takeAsk(start)->hold);
}

// Guards against followers that wait for a failed watcher, or that watch the store although one of
// two watchers answers.
BOOST_AUTO_TEST_CASE(watchers_fail_one_after_the_other)
{
    Follower follower;
    follower.passUnanswered(0s);
    follower.answer(FeedAnswer::Watching);
    follower.passUnanswered(11s);
    BOOST_CHECK_EQUAL(follower.role->source(), follower.first);
    BOOST_CHECK((follower.passUnanswered(1s) == std::vector<std::string>{follower.second}));
    follower.answer(FeedAnswer::Watching);
    follower.passUnanswered(0s);
    BOOST_CHECK(follower.role->mode() == FeedMode::Follower);
    // A connection that ends tells at once.
    follower.role->connectionLost(follower.second, follower.now);
    BOOST_CHECK((follower.passUnanswered(0s) == std::vector<std::string>{follower.first}));
    follower.remove(follower.second);
    follower.answer(FeedAnswer::Watching);
    BOOST_CHECK(follower.role->mode() != FeedMode::Direct);
}

// Guards against 200 followers that watch the store at once when both watchers fail, and against a
// follower that never does, or never follows again.
BOOST_AUTO_TEST_CASE(both_watchers_fail)
{
    Follower follower;
    follower.passUnanswered(0s);
    follower.answer(FeedAnswer::Watching);
    follower.passUnanswered(0s);
    follower.role->connectionLost(follower.first, follower.now);
    const auto asked = follower.passUnanswered(11s);
    BOOST_CHECK(!follower.role->watchesStore());
    BOOST_CHECK(!follower.role->isCurrent());
    BOOST_CHECK_GE(asked.size(), 3U);
    BOOST_CHECK_LE(asked.size(), 8U);
    follower.passUnanswered(1s);
    BOOST_CHECK(follower.role->mode() == FeedMode::Direct);
    BOOST_CHECK(follower.role->watchesStore());
    while (follower.passUnanswered(0s).empty())
        follower.now += 100ms;
    follower.answer(FeedAnswer::Watching);
    BOOST_CHECK(follower.role->mode() == FeedMode::Follower);
    BOOST_CHECK(!follower.role->watchesStore());
}

// Guards against members that follow each other because their views of the membership differ, and
// against a busy loop of refused requests.
BOOST_AUTO_TEST_CASE(membership_disagrees)
{
    Follower follower;
    int asked = 0;
    for (; follower.now < start + 13s; follower.now += 100ms) {
        follower.role->tick(follower.now);
        while (follower.role->takeAsk(follower.now)) {
            ++asked;
            follower.answer(FeedAnswer::Refused);
        }
    }
    BOOST_CHECK(follower.role->mode() == FeedMode::Direct);
    BOOST_CHECK_LE(asked, 15);
    // With this VM among the best two it watches without a request.
    const auto self = selectWatchers("dc", follower.members)[0];
    FeedRole watcher({self, "dc"});
    watcher.updateMembers(follower.members, {}, start);
    BOOST_CHECK(watcher.mode() == FeedMode::Watcher && !watcher.takeAsk(start));
    watcher.updateMembers(follower.members, std::vector<std::string>{self}, start);
    BOOST_CHECK(watcher.mode() == FeedMode::Follower && watcher.watchesStore());
}

// Guards against followers that learn nothing while the store turns away both watchers of their
// data centre, but not them.
BOOST_AUTO_TEST_CASE(lost_watch_limit_ends_the_wait_for_the_watchers)
{
    Follower follower;
    FeedRoleSettings settings;
    settings.lostWatchLimit = 1s;
    settings.watchUntilAnswered = false;
    const auto vm =
        std::find_if(follower.members.begin(), follower.members.end(),
                     [&](const CandidateVm &member) {
                         return member.vm != follower.first && member.vm != follower.second;
                     })
            ->vm;
    follower.role.emplace(CandidateVm{vm, "dc"}, settings);
    follower.role->updateMembers(follower.members, {}, follower.now);
    BOOST_CHECK(!follower.role->watchesStore());
    const auto loseWatch = [&](Duration duration) {
        for (const auto end = follower.now + duration; follower.now < end; follower.now += 100ms) {
            follower.role->tick(follower.now);
            if (follower.role->takeAsk(follower.now))
                follower.answer(FeedAnswer::WatchLost);
        }
    };
    loseWatch(900ms);
    BOOST_CHECK(!follower.role->watchesStore());
    loseWatch(300ms);
    BOOST_CHECK(follower.role->mode() == FeedMode::Direct);
    BOOST_CHECK(follower.role->watchesStore());
    while (!follower.role->takeAsk(follower.now))
        follower.now += 100ms;
    follower.answer(FeedAnswer::Watching);
    BOOST_CHECK(!follower.role->watchesStore());
}

// Guards against a store outage in which followers join the watchers in calling the store.
BOOST_AUTO_TEST_CASE(store_outage_makes_nobody_watch)
{
    Follower follower;
    follower.passUnanswered(0s);
    follower.answer(FeedAnswer::Watching);
    int asked = 0;
    for (; follower.now < start + 60s; follower.now += 100ms) {
        follower.role->tick(follower.now);
        if (const auto ask = follower.role->takeAsk(follower.now)) {
            ++asked;
            follower.now += ask->hold ? Duration(10s) : Duration(0);
            follower.answer(FeedAnswer::WatchLost);
        }
    }
    BOOST_CHECK(follower.role->mode() == FeedMode::Follower);
    BOOST_CHECK(!follower.role->watchesStore());
    BOOST_CHECK(!follower.role->isCurrent());
    BOOST_CHECK_LE(asked, 20);
    follower.role->takeAsk(follower.now);
    follower.answer(FeedAnswer::Watching);
    BOOST_CHECK(follower.role->isCurrent());
}
