#include "core/feedlog.h"
#include "core/feedview.h"
#include "support/printrevision.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace shallotwalk;

namespace {

FeedChange put(const std::string &key, StoreRevision revision)
{
    return {{key, key + "@" + toString(revision), revision}, false};
}

FeedChange removal(const std::string &key, StoreRevision revision)
{
    return {{key, {}, revision}, true};
}

FeedRequest requestOf(const FeedView &view)
{
    FeedRequest request;
    request.records = view.recordsCursor();
    request.vms = view.vmsCursor();
    request.hold = true;
    request.watchConnected = true;
    return request;
}

FeedLog watchingLog(std::uint64_t id = 7)
{
    FeedLog log(id);
    log.setWatchConnected(true);
    return log;
}

/// Exchanges requests and replies until the watcher has nothing newer. Returns the bytes of the
/// largest reply.
std::size_t synchronize(const FeedLog &log, FeedView &view)
{
    std::size_t largest = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto reply = log.answer(requestOf(view));
        if (!reply)
            return largest;
        std::size_t bytes = 0;
        for (const auto &change : reply->records.changes)
            bytes += change.entry.key.size() + change.entry.value.size();
        largest = std::max(largest, bytes);
        view.take(*reply);
    }
    BOOST_FAIL("the exchange does not end");
    return largest;
}

std::vector<KeyValue> fullSet(int count, std::size_t bytes)
{
    std::vector<KeyValue> values;
    for (int i = 1; i <= count; ++i)
        values.push_back({"pool" + std::to_string(i), std::string(bytes, 'x'), i});
    return values;
}

} // namespace

// Guards against replies over the limit, lost records, and a snapshot that is built from pages
// between which records change.
BOOST_AUTO_TEST_CASE(snapshot_arrives_in_bounded_replies)
{
    auto log = watchingLog();
    log.loadRecords(fullSet(4700, 430), 5000);
    FeedView view;
    const auto first = log.answer(requestOf(view));
    BOOST_REQUIRE(first && first->records.snapshot);
    BOOST_CHECK(view.take(*first).records.empty());
    log.changeRecords(std::vector{removal("pool1", 5001), put("pool4700", 5002)}, 5002);
    const auto largest = synchronize(log, view);
    BOOST_CHECK_LE(largest, FeedLog::maxReplyBytes);
    BOOST_CHECK_EQUAL(view.records().size(), 4699U);
    BOOST_CHECK_EQUAL(view.revision(), 5002);
}

// Guards against a change that is sent as a snapshot, or again and again.
BOOST_AUTO_TEST_CASE(change_is_sent_alone)
{
    auto log = watchingLog();
    log.loadRecords(fullSet(100, 10), 500);
    FeedView view;
    synchronize(log, view);
    BOOST_CHECK(!log.answer(requestOf(view)));
    log.changeRecords(std::vector{put("pool7", 501), put("pool7", 503), removal("pool8", 502)},
                      503);
    const auto reply = log.answer(requestOf(view));
    BOOST_REQUIRE(reply);
    BOOST_CHECK(!reply->records.snapshot);
    BOOST_CHECK_EQUAL(reply->records.changes.size(), 2U);
    const auto news = view.take(*reply);
    BOOST_REQUIRE_EQUAL(news.records.size(), 2U);
    BOOST_CHECK((news.records[0] == KeyValue{"pool8", {}, 0}));
    BOOST_CHECK_EQUAL(news.records[1].modRevision, 503);
    BOOST_CHECK(!log.answer(requestOf(view)));
}

// Guards against a follower that is reverted by a reply that is late, or by a watcher that has just
// started and knows less.
BOOST_AUTO_TEST_CASE(older_state_reverts_nothing)
{
    auto log = watchingLog();
    log.loadRecords(fullSet(10, 5), 100);
    FeedView view;
    const auto late = log.answer(requestOf(view));
    log.changeRecords(std::vector{put("pool3", 150), removal("pool4", 151)}, 151);
    synchronize(log, view);
    const auto before = view.records();

    BOOST_CHECK(view.take(*late).records.empty());
    BOOST_CHECK((view.records() == before));
    auto behind = watchingLog(8);
    BOOST_CHECK(!behind.answer(requestOf(view))); // Nothing loaded yet.
    behind.loadRecords(fullSet(10, 5), 120);
    BOOST_CHECK(!behind.answer(requestOf(view)));
    auto request = requestOf(view);
    request.hold = false;
    BOOST_CHECK(view.take(*behind.answer(request)).records.empty());
    BOOST_CHECK((view.records() == before));
    BOOST_CHECK_EQUAL(view.revision(), 151);
    // It catches up and then serves what is new.
    behind.changeRecords(std::vector{put("pool3", 150), removal("pool4", 151), put("pool5", 160)},
                         160);
    synchronize(behind, view);
    BOOST_CHECK_EQUAL(view.records().size(), 9U);
    BOOST_CHECK_EQUAL(view.revision(), 160);
}

// Guards against a deletion that a follower misses because the watcher no longer remembers it.
BOOST_AUTO_TEST_CASE(forgotten_deletions_give_a_snapshot)
{
    auto log = watchingLog();
    log.loadRecords(fullSet(3000, 5), 3000);
    FeedView view;
    synchronize(log, view);
    for (int i = 1; i <= 2000; ++i)
        log.changeRecords(std::vector{removal("pool" + std::to_string(i), 3000 + i)}, 3000 + i);
    BOOST_CHECK(log.answer(requestOf(view))->records.snapshot);
    synchronize(log, view);
    BOOST_CHECK_EQUAL(view.records().size(), 1000U);
}

// Guards against a snapshot whose pages come from different watchers, of which the second no
// longer knows what was deleted in between.
BOOST_AUTO_TEST_CASE(snapshot_restarts_at_another_watcher)
{
    auto log = watchingLog();
    log.loadRecords(fullSet(4700, 430), 5000);
    FeedView view;
    view.take(*log.answer(requestOf(view)));
    auto values = fullSet(4700, 430);
    values.erase(values.begin());
    auto other = watchingLog(8);
    BOOST_CHECK(!other.answer(requestOf(view)));
    view.take(other.emptyAnswer(requestOf(view)));
    BOOST_CHECK(!view.hasRecords());
    other.loadRecords(values, 5001);
    synchronize(other, view);
    BOOST_CHECK_EQUAL(view.records().size(), 4699U);
}

// Guards against a list of VMs that is not passed on when it returns to an earlier state, and
// against one that is repeated without change.
BOOST_AUTO_TEST_CASE(list_of_vms_goes_back)
{
    auto log = watchingLog();
    FeedView view;
    const std::vector<KeyValue> live{{"a", "live", 0}, {"b", "live", 0}};
    const std::vector<KeyValue> leaving{{"a", "leaving", 0}};
    log.updateVms(live);
    synchronize(log, view);
    BOOST_CHECK_EQUAL(view.vms().size(), 2U);
    log.updateVms(leaving);
    auto news = view.take(*log.answer(requestOf(view)));
    BOOST_CHECK(news.vmsChanged);
    BOOST_CHECK((view.vms() == std::map<std::string, std::string>{{"a", "leaving"}}));
    log.updateVms(live);
    news = view.take(*log.answer(requestOf(view)));
    BOOST_CHECK(news.vmsChanged);
    BOOST_CHECK_EQUAL(view.vms().at("a"), "live");
    log.updateVms(live);
    BOOST_CHECK(!log.answer(requestOf(view)));
    // Another watcher sends its whole list, which is the same here.
    auto other = watchingLog(8);
    other.updateVms(live);
    const auto reply = other.answer(requestOf(view));
    BOOST_REQUIRE(reply && reply->vms.snapshot);
    BOOST_CHECK(!view.take(*reply).vmsChanged);
    BOOST_CHECK(!other.answer(requestOf(view)));
}

// Guards against a follower that loses records, or isn't told, when its watcher loses the store.
BOOST_AUTO_TEST_CASE(store_outage_at_the_watcher)
{
    auto log = watchingLog();
    log.loadRecords(fullSet(10, 5), 100);
    FeedView view;
    synchronize(log, view);
    log.setWatchConnected(false);
    auto request = requestOf(view);
    const auto reply = log.answer(request);
    BOOST_REQUIRE(reply);
    BOOST_CHECK(reply->answer == FeedAnswer::WatchLost);
    BOOST_CHECK(view.take(*reply).records.empty());
    BOOST_CHECK_EQUAL(view.records().size(), 10U);
    request.watchConnected = false;
    BOOST_CHECK(!log.answer(request));
    BOOST_CHECK(view.take(FeedLog::refusal(request)).records.empty());
    log.setWatchConnected(true);
    BOOST_CHECK(log.answer(request)->answer == FeedAnswer::Watching);
}

// Guards against lost or reverted records in any order of changes, pages, watchers and late
// replies.
BOOST_AUTO_TEST_CASE(random_exchanges_converge)
{
    std::mt19937_64 random(20261204);
    std::map<std::string, StoreRevision> truth;
    std::vector<FeedLog> watchers{watchingLog(1), watchingLog(2)};
    std::vector<FeedView> followers(3);
    std::vector<FeedReply> late;
    std::int64_t revision = 1;
    const auto load = [&](FeedLog &log) {
        std::vector<KeyValue> values;
        values.reserve(truth.size());
        for (const auto &[key, changed] : truth)
            values.push_back(put(key, changed).entry);
        log.loadRecords(values, revision);
    };
    for (auto &watcher : watchers)
        load(watcher);
    for (int step = 0; step < 20000; ++step) {
        auto &watcher = watchers[random() % 2];
        auto &follower = followers[random() % 3];
        const auto before = follower.revision();
        const auto key = "pool" + std::to_string(random() % 40);
        const auto kind = random() % 10;
        if (kind < 4) {
            const bool removed = kind == 0 && truth.erase(key) > 0;
            if (!removed)
                truth[key] = revision + 1;
            const auto change = removed ? removal(key, revision + 1) : put(key, revision + 1);
            ++revision;
            for (auto &one : watchers)
                one.changeRecords(std::vector{change}, revision);
        } else if (kind == 4 && random() % 20 == 0) {
            load(watcher); // A restart.
        } else if (const auto reply = watcher.answer(requestOf(follower))) {
            follower.take(*reply);
            late.push_back(*reply);
        }
        if (!late.empty() && random() % 5 == 0)
            follower.take(late[random() % late.size()]);
        BOOST_REQUIRE_GE(follower.revision(), before);
    }
    for (auto &follower : followers) {
        synchronize(watchers[0], follower);
        std::map<std::string, StoreRevision> known;
        for (const auto &value : follower.records())
            known.emplace(value.key, value.modRevision);
        BOOST_CHECK((known == truth));
    }
}

// Guards against followers that keep what the store has lost, or that miss what it has written
// since, after it has gone back to a copy: its watchers notice at different times, and late replies
// tell of the era before.
BOOST_AUTO_TEST_CASE(random_exchanges_converge_over_eras)
{
    std::mt19937_64 random(20261207);
    using Records = std::map<std::string, StoreRevision>;
    Records truth;
    Records copy;
    StoreRevision revision(1, 1);
    StoreRevision copyRevision = revision;
    std::vector<FeedLog> watchers{watchingLog(0), watchingLog(0)};
    std::vector<FeedView> followers(3);
    std::vector<FeedReply> late;
    const auto load = [&](FeedLog &log) {
        std::vector<KeyValue> values;
        values.reserve(truth.size());
        for (const auto &[key, changed] : truth)
            values.push_back(put(key, changed).entry);
        log.loadRecords(values, revision);
    };
    for (auto &watcher : watchers)
        load(watcher);
    for (int step = 0; step < 20000; ++step) {
        auto &watcher = watchers[random() % 2];
        auto &follower = followers[random() % 3];
        const auto before = follower.revision();
        const auto kind = random() % 200;
        if (kind < 80) {
            const auto key = "pool" + std::to_string(random() % 40);
            revision = revision.next();
            const bool removed = kind < 20 && truth.erase(key) > 0;
            if (!removed)
                truth[key] = revision;
            const auto change = removed ? removal(key, revision) : put(key, revision);
            for (auto &one : watchers) {
                if (one.revision().era() == revision.era())
                    one.changeRecords(std::vector{change}, revision);
            }
        } else if (kind == 80) {
            copy = truth;
            copyRevision = revision;
        } else if (kind == 81) {
            const auto era = revision.era() + 1;
            truth.clear();
            for (const auto &[key, changed] : copy)
                truth[key] = {changed.number(), era};
            revision = {copyRevision.number(), era};
        } else if (kind < 90) {
            load(watcher);
        } else if (const auto reply = watcher.answer(requestOf(follower))) {
            follower.take(*reply);
            late.push_back(*reply);
        }
        if (!late.empty() && random() % 5 == 0)
            follower.take(late[random() % late.size()]);
        BOOST_REQUIRE_GE(follower.revision(), before);
    }
    BOOST_REQUIRE_GT(revision.era(), 10);
    for (auto &watcher : watchers)
        load(watcher);
    for (auto &follower : followers) {
        synchronize(watchers[0], follower);
        Records known;
        for (const auto &value : follower.records())
            known.emplace(value.key, value.modRevision);
        BOOST_CHECK((known == truth));
    }
}

// Guards against snapshots without end to a follower that knows a newer era of the store than its
// watcher: nothing of the older one is news.
BOOST_AUTO_TEST_CASE(follower_of_a_newer_era_is_told_nothing)
{
    auto log = watchingLog(0);
    log.loadRecords(std::vector{put("pool1", {7, 1}).entry}, {9, 1});
    FeedView view;
    view.loadRecords(std::vector{put("pool1", {3, 2}).entry}, {4, 2});
    log.updateVms({});
    synchronize(log, view);
    BOOST_CHECK_EQUAL(view.revision(), StoreRevision(4, 2));
}

// Guards against changes that are missed while proxies of a version that doesn't know eras watch
// the store for newer ones, or the other way round.
BOOST_AUTO_TEST_CASE(cursor_without_an_era_counts_as_of_the_same)
{
    auto log = watchingLog(0);
    log.loadRecords(std::vector{put("pool1", {3, 2}).entry}, {4, 2});
    FeedRequest request;
    request.records = {0, 4, {}};
    request.hold = true;
    request.watchConnected = true;
    BOOST_CHECK(!log.answer(request));
    log.changeRecords(std::vector{put("pool2", {5, 2})}, {5, 2});
    const auto reply = log.answer(request);
    BOOST_REQUIRE(reply.has_value());
    BOOST_CHECK_EQUAL(reply->records.changes.size(), 1U);

    FeedView view;
    view.loadRecords(std::vector{put("pool1", {3, 2}).entry}, {4, 2});
    FeedReply old;
    old.answer = FeedAnswer::Watching;
    old.records.changes = {put("pool2", 5)};
    old.records.next = {0, 5, {}};
    BOOST_CHECK_EQUAL(view.take(old).records.size(), 1U);
    BOOST_CHECK_EQUAL(view.revision(), StoreRevision(5, 2));
}
