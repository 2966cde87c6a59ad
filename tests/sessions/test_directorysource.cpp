#include "core/core.h"
#include "support/printrevision.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <set>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint start{std::chrono::seconds(1000)};
constexpr Duration step = 10ms;
/// Time beyond its wait after which a watch on a silent connection counts as lost.
constexpr Duration answerMargin = 700ms;

/// The store: all changes so far, in order.
struct StoreModel
{
    void write(const std::string &key, const std::string &value = "value")
    {
        changes.push_back({{key, value, ++revision}, false});
    }
    void remove(const std::string &key) { changes.push_back({{key, {}, ++revision}, true}); }

    std::vector<FeedChange> after(StoreRevision known) const
    {
        std::vector<FeedChange> news;
        std::copy_if(changes.begin(), changes.end(), std::back_inserter(news),
                     [&](const FeedChange &change) { return change.entry.modRevision > known; });
        return news;
    }

    std::vector<FeedChange> changes;
    std::int64_t revision = 1;
};

/// A proxy with its source, its watch of the store and what it serves to followers.
struct ProxyModel
{
    struct Held
    {
        std::string follower;
        FeedRequest request;
        TimePoint due;
    };

    ProxyModel(const FleetMember &member, const DirectorySourceSettings &settings)
        : source(CandidateVm{member.vm, member.dataCentre}, settings)
    {
    }

    DirectorySource source;
    FeedLog log{0};
    std::vector<Held> held;
    std::map<std::string, std::string> known; ///< Keys and values as passed on.
    bool watching = false;
    bool alive = true;
    bool cutFromStore = false;
    TimePoint watchStart;
    std::size_t storeCalls = 0;
    std::optional<std::pair<std::string, TimePoint>> unanswered; ///< Watcher asked, and until when.
};

/// Proxies of six data centres before one store, in simulated time.
class SourceFleet
{
public:
    SourceFleet(std::size_t perDataCentre, Duration limit)
        : settings_(DirectorySourceSettings::within(limit))
    {
        for (const std::string dataCentre :
             {"nord-a", "nord-b", "sud-a", "sud-b", "est", "ouest"}) {
            for (std::size_t i = 0; i < perDataCentre; ++i)
                members.push_back({dataCentre + std::to_string(i), dataCentre, "10.0.0.1", 7440});
        }
        for (const auto &member : members) {
            store.write("proxies/" + member.vm);
            proxies.try_emplace(member.vm, member, settings_);
        }
        for (auto &[vm, proxy] : proxies) {
            std::vector<KeyValue> items;
            for (const auto &change : store.changes) {
                items.push_back(change.entry);
                proxy.known[change.entry.key] = change.entry.value;
            }
            proxy.source.listed(items, store.revision);
            proxy.source.setMembers(members, now);
        }
        run(1s);
    }

    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end; now += step) {
            for (auto &[vm, proxy] : proxies) {
                if (proxy.alive)
                    advance(vm, proxy);
            }
        }
    }

    /// Writes \a key and returns how long it takes until all live proxies know it, at most \a
    /// limit.
    Duration timeToKnow(const std::string &key, Duration limit)
    {
        store.write(key);
        const auto written = now;
        while (now - written < limit) {
            run(step);
            const bool allKnow =
                std::all_of(proxies.begin(), proxies.end(), [&](const auto &entry) {
                    return !entry.second.alive || entry.second.known.contains(key);
                });
            if (allKnow)
                return now - written;
        }
        return limit;
    }

    std::vector<std::string> watchers() const
    {
        std::vector<std::string> names;
        for (const auto &[vm, proxy] : proxies) {
            if (proxy.alive && proxy.watching)
                names.push_back(vm);
        }
        return names;
    }

    std::size_t storeCalls() const
    {
        std::size_t calls = 0;
        for (const auto &[vm, proxy] : proxies)
            calls += proxy.storeCalls;
        return calls;
    }

    StoreModel store;
    std::vector<FleetMember> members;
    std::map<std::string, ProxyModel> proxies;
    TimePoint now = start;

private:
    void apply(ProxyModel &proxy, const std::vector<KeyValue> &news)
    {
        for (const auto &item : news) {
            if (item.modRevision == 0)
                proxy.known.erase(item.key);
            else
                proxy.known[item.key] = item.value;
        }
    }

    void advance(const std::string &vm, ProxyModel &proxy)
    {
        if (proxy.unanswered && now >= proxy.unanswered->second) {
            const auto watcher = proxy.unanswered->first;
            proxy.unanswered.reset();
            proxy.source.failed(watcher, now);
        }
        proxy.source.tick(now);
        updateWatching(proxy);
        if (proxy.watching)
            watch(proxy);
        answerHeld(proxy);
        if (const auto request = proxy.source.takeRequest(now))
            ask(vm, proxy, *request);
    }

    void updateWatching(ProxyModel &proxy)
    {
        if (proxy.watching == proxy.source.watchesStore())
            return;
        proxy.watching = !proxy.watching;
        if (proxy.watching) {
            proxy.log.loadRecords(proxy.source.items(), proxy.source.revision());
            proxy.log.setWatchConnected(true);
            proxy.watchStart = now;
            ++proxy.storeCalls;
        } else {
            proxy.log.clear();
        }
    }

    void watch(ProxyModel &proxy)
    {
        const auto waited = now - proxy.watchStart;
        if (proxy.cutFromStore) {
            if (waited >= proxy.source.watchWait() + answerMargin)
                proxy.log.setWatchConnected(false);
            return;
        }
        proxy.log.setWatchConnected(true);
        const auto news = store.after(proxy.source.revision());
        if (news.empty() && waited < proxy.source.watchWait())
            return;
        apply(proxy, proxy.source.changed(news, store.revision));
        proxy.log.changeRecords(news, store.revision);
        proxy.watchStart = now;
        ++proxy.storeCalls;
    }

    void ask(const std::string &vm, ProxyModel &proxy, const SourceRequest &request)
    {
        auto &watcher = proxies.at(request.watcher.vm);
        proxy.unanswered = {request.watcher.vm, now + request.timeout};
        if (!watcher.alive)
            return;
        if (!watcher.watching)
            deliver(vm, request.watcher.vm, FeedLog::refusal(request.request));
        else if (const auto reply = watcher.log.answer(request.request))
            deliver(vm, request.watcher.vm, *reply);
        else
            watcher.held.push_back({vm, request.request, now + settings_.holdTime});
    }

    void answerHeld(ProxyModel &proxy)
    {
        for (const auto &held : std::exchange(proxy.held, {})) {
            const auto watcher =
                std::find_if(proxies.begin(), proxies.end(),
                             [&](const auto &entry) { return &entry.second == &proxy; });
            if (const auto reply = proxy.log.answer(held.request))
                deliver(held.follower, watcher->first, *reply);
            else if (now >= held.due)
                deliver(held.follower, watcher->first, proxy.log.emptyAnswer(held.request));
            else
                proxy.held.push_back(held);
        }
    }

    void deliver(const std::string &follower, const std::string &watcher, const FeedReply &reply)
    {
        auto &proxy = proxies.at(follower);
        if (!proxy.alive || !proxy.unanswered || proxy.unanswered->first != watcher)
            return;
        proxy.unanswered.reset();
        apply(proxy, proxy.source.answered(watcher, reply, now));
    }

    DirectorySourceSettings settings_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(directory_source)

// Guards against store calls that grow with the fleet: when each proxy watched the store, a change
// cost a call of each of them.
BOOST_AUTO_TEST_CASE(only_two_proxies_of_each_data_centre_call_the_store)
{
    for (const std::size_t perDataCentre : {5U, 13U, 50U}) {
        SourceFleet fleet(perDataCentre, 6s);
        BOOST_TEST(fleet.watchers().size() == 12U);
        const auto before = fleet.storeCalls();
        for (int i = 0; i < 40; ++i)
            BOOST_TEST((fleet.timeToKnow("key" + std::to_string(i), 1s) <= 3 * step));
        fleet.run(20s);
        BOOST_TEST(fleet.storeCalls() - before <= 12U * (40 + 11));
    }
}

// Guards against a configuration that comes into force late because the watchers of a data centre
// have died: the limit includes the time until their followers notice.
BOOST_AUTO_TEST_CASE(changes_are_known_in_time_although_watchers_die)
{
    for (const Duration limit : {3s, 5s, 6s}) {
        SourceFleet fleet(13, limit);
        const auto watchers = fleet.watchers();
        // One watcher of each data centre, then all.
        for (std::size_t i = 0; i < watchers.size(); i += 2)
            fleet.proxies.at(watchers[i]).alive = false;
        BOOST_TEST((fleet.timeToKnow("first", limit) <= limit / 2));
        for (const auto &watcher : watchers)
            fleet.proxies.at(watcher).alive = false;
        BOOST_TEST((fleet.timeToKnow("second", limit) <= limit * 3 / 4));
    }
}

// Guards against followers that learn nothing, or too late, while the watchers of their data centre
// are cut off from the store, which a watcher notices only when its watch doesn't end.
BOOST_AUTO_TEST_CASE(changes_are_known_in_time_although_watchers_are_cut_off)
{
    for (const Duration limit : {3s, 5s, 6s}) {
        SourceFleet fleet(13, limit);
        const auto watchers = fleet.watchers();
        for (const auto &watcher : watchers) {
            fleet.proxies.at(watcher).cutFromStore = true;
            fleet.proxies.at(watcher).known["during"] = "not expected of a proxy that is cut off";
        }
        BOOST_TEST((fleet.timeToKnow("during", limit) <= limit * 3 / 4));
        // They follow again once the watchers have got their watch back.
        for (const auto &watcher : watchers)
            fleet.proxies.at(watcher).cutFromStore = false;
        fleet.run(3s);
        BOOST_TEST(fleet.watchers().size() == 12U);
        BOOST_TEST((fleet.timeToKnow("after", 1s) <= 3 * step));
    }
}

// Guards against proxies that disagree on the store's items after a change of watchers: removed
// items that stay, or older values that come back.
BOOST_AUTO_TEST_CASE(all_proxies_know_the_same_items_after_changes_of_watchers)
{
    SourceFleet fleet(6, 3s);
    for (int round = 0; round < 6; ++round) {
        fleet.store.write("changing", std::to_string(round));
        fleet.store.write("temporary" + std::to_string(round));
        fleet.run(200ms);
        const auto watchers = fleet.watchers();
        fleet.proxies.at(watchers[static_cast<std::size_t>(round) % watchers.size()]).alive = false;
        fleet.store.remove("temporary" + std::to_string(round));
        fleet.run(3s);
    }
    std::map<std::string, std::string> expected;
    for (const auto &[entry, deleted] : fleet.store.changes) {
        if (deleted)
            expected.erase(entry.key);
        else
            expected[entry.key] = entry.value;
    }
    for (const auto &[vm, proxy] : fleet.proxies)
        BOOST_TEST((!proxy.alive || proxy.known == expected));
}

// Guards against a large reply that is asked for again without end, because the time for the answer
// ends before it has arrived whole.
BOOST_AUTO_TEST_CASE(reply_that_comes_late_is_taken)
{
    std::vector<FleetMember> members;
    members.reserve(8);
    for (int i = 0; i < 8; ++i)
        members.push_back({"front-" + std::to_string(i), "nord", "10.0.0.1", 7440});
    for (const auto &self : members) {
        DirectorySource source({self.vm, "nord"}, DirectorySourceSettings::within(3s));
        source.listed({}, 5);
        source.setMembers(members, start);
        const auto request = source.takeRequest(start);
        if (!request)
            continue; // A watcher.
        source.tick(start + request->timeout);
        BOOST_TEST(source.watcher() != request->watcher.vm);
        FeedReply reply;
        reply.id = request->request.id;
        reply.answer = FeedAnswer::Watching;
        reply.records.changes = {{{"op/config", "large", 6}, false}};
        reply.records.next = {0, 6, 0};
        const auto news = source.answered(request->watcher.vm, reply, start + 2s);
        BOOST_TEST(news.size() == 1U);
        BOOST_TEST(source.revision() == 6);
        // The other watcher is asked next, from there on.
        const auto next = source.takeRequest(start + 2s);
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(next->watcher.vm == source.watcher());
        BOOST_TEST(next->request.records.revision == 6);
    }
}

// Guards against a proxy that asks one without an address, such as one of an older version, or that
// waits for others although it is alone.
BOOST_AUTO_TEST_CASE(proxy_without_others_to_ask_watches_the_store)
{
    DirectorySource source({"front-1", "nord"}, DirectorySourceSettings::within(3s));
    BOOST_TEST(source.watchesStore());
    std::vector<FleetMember> members{{"front-1", "nord", "10.0.0.1", 7440}};
    for (int i = 2; i < 9; ++i)
        members.push_back({"front-" + std::to_string(i), "nord", "", 0});
    source.setMembers(members, start);
    BOOST_TEST(source.watchesStore());
    BOOST_TEST(!source.takeRequest(start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
