#include "sessions/replicationmodel.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>

using namespace shallotwalk;

BOOST_AUTO_TEST_SUITE(replication)

// Guards against the loss of commits that a replica confirms which joins after the others were
// paused for a promotion.
BOOST_AUTO_TEST_CASE(replica_that_joins_during_a_promotion_confirms_no_lost_commit)
{
    for (const bool obeysDemote : {true, false}) {
        ReplicationModelSettings settings;
        settings.proxies = 4;
        settings.promotionTime = 1000ms;
        settings.obeysDemote = obeysDemote;
        ReplicationModel model(settings);
        model.run(6s);
        model.join();
        model.leave("db-1");
        model.run(1s);
        model.join();
        model.leave("db-2");
        model.run(6s);
        BOOST_TEST(model.promoted().size() > 0U, model.trace());
        BOOST_TEST(model.acknowledged() > 100U);
        BOOST_TEST(model.lost() == 0U, model.trace());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
    }
}

// Guards against the loss of commits that a replica confirms which the proxies never asked, because
// clients hold transactions on all their connections to it.
BOOST_AUTO_TEST_CASE(replica_full_of_transactions_confirms_no_lost_commit)
{
    for (const bool obeysDemote : {true, false}) {
        ReplicationModelSettings settings;
        settings.proxies = 2;
        settings.obeysDemote = obeysDemote;
        ReplicationModel model(settings);
        model.run(300ms);
        model.holdTransactions("db-2");
        model.run(3s);
        model.join();
        model.run(3s);
        model.leave("db-1");
        model.run(6s);
        BOOST_TEST(model.promoted().size() == 1U, model.trace());
        BOOST_TEST(model.acknowledged() > 100U);
        BOOST_TEST(model.lost() == 0U, model.trace());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
    }
}

// Guards against a promotion of a replica that is behind, while the primary answers and its commits
// wait for a replica: the waiting counted as silence, and the replica that had confirmed commits
// was forgotten with its entry.
BOOST_AUTO_TEST_CASE(commits_that_wait_are_no_failure_of_the_primary)
{
    for (const bool obeysDemote : {true, false}) {
        ReplicationModelSettings settings;
        settings.proxies = 4;
        settings.writers = 4;
        settings.promotionTime = 1000ms;
        settings.obeysDemote = obeysDemote;
        ReplicationModel model(settings);
        model.run(4s);
        model.setDeaf("db-3", true);
        model.run(1s);
        model.crash("db-2");
        model.run(5500ms);
        model.setDeaf("db-3", false);
        model.run(1500ms);
        model.restart("db-2");
        model.run(3s);
        BOOST_TEST(model.promoted().empty(), model.trace());
        BOOST_TEST(model.acknowledged() > 100U);
        BOOST_TEST(model.lost() == 0U, model.trace());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
    }
}

// Guards against a promotion that forgets a confirming replica because its entry is gone when the
// primary fails. The service waits for one of the two.
BOOST_AUTO_TEST_CASE(primary_and_confirming_replica_away_lose_no_commit)
{
    for (const std::string first : {"db-1", "db-2"}) {
        ReplicationModel model(ReplicationModelSettings{});
        model.run(4s);
        model.setDeaf("db-3", true);
        model.run(1s);
        model.crash("db-2");
        model.crash("db-1");
        model.run(1s);
        model.setDeaf("db-3", false);
        model.run(9s);
        BOOST_TEST(model.promoted().empty(), model.trace());
        model.restart(first);
        model.run(8s);
        BOOST_TEST(model.lost() == 0U, model.trace());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
    }
}

// Guards against the promotion of a replica that lacks what was acknowledged before the last
// promotion: the new primary crashes, and the former one, which holds it too, has lost its entry.
BOOST_AUTO_TEST_CASE(replica_behind_the_last_promotion_is_not_promoted)
{
    ReplicationModel model(ReplicationModelSettings{});
    model.run(4s);
    model.setDeaf("db-3", true);
    model.run(1s);
    model.crash("db-1");
    model.run(3s);
    BOOST_REQUIRE(model.promoted() == std::vector<std::string>{"db-2"});
    model.crash("db-2");
    model.run(3500ms);
    model.setDeaf("db-3", false);
    model.run(500ms);
    model.restart("db-1");
    model.run(3s);
    model.restart("db-2");
    model.run(8s);
    BOOST_TEST(model.lost() == 0U, model.trace());
    BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
}

// Guards against the loss of commits that a silent replica has confirmed: it was forgotten between
// the removal of its entry and the end of the last attempt to connect to it.
BOOST_AUTO_TEST_CASE(silent_replica_counts_after_the_removal_of_its_entry)
{
    for (const auto silence : {6500ms, 7000ms, 7500ms}) {
        ReplicationModel model(ReplicationModelSettings{});
        model.run(4s);
        model.setDeaf("db-3", true);
        model.run(1s);
        model.darken("db-2", silence);
        model.run(200ms);
        model.crash("db-1");
        model.run(5300ms);
        model.setDeaf("db-3", false);
        model.run(1500ms);
        model.restart("db-1");
        model.run(8s);
        BOOST_TEST(model.lost() == 0U, model.trace());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
    }
}

// Guards against the loss of commits that only a replica without an entry has confirmed: it counted
// as one of those that hold them, but only one that lacks them could be chosen.
BOOST_AUTO_TEST_CASE(replica_without_an_entry_confirms_no_lost_commit)
{
    ReplicationModel model(ReplicationModelSettings{});
    model.run(4s);
    model.cutFromStore("db-2", 5s);
    model.run(2500ms);
    model.setDeaf("db-3", true);
    model.run(1700ms);
    model.crash("db-1");
    model.run(4800ms);
    model.setDeaf("db-3", false);
    model.run(2200ms);
    model.restart("db-1");
    model.run(8s);
    BOOST_TEST(model.promoted() == std::vector<std::string>{"db-2"}, model.trace());
    BOOST_TEST(model.lost() == 0U, model.trace());
    BOOST_TEST((model.sinceAcknowledged() < 1s), model.trace());
}

namespace {

/// Plays faults that are drawn from \a seed, one every one or two seconds, and then lets all
/// servers and proxies run.
void playFaults(ReplicationModel &model, std::uint64_t seed, std::size_t proxies)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t count) { return static_cast<std::size_t>(random() % count); };
    std::set<std::string> away;
    std::string deaf;
    model.run(3s);
    for (int event = 0; event < 12; ++event) {
        const auto replicas = model.replicas();
        const auto primary = model.primary();
        switch (draw(9)) {
        case 0:
            if (!primary.empty() && replicas.size() > 1) {
                model.join();
                model.leave(primary);
            }
            break;
        case 1:
            model.join();
            break;
        case 2:
            if (!primary.empty() && away.empty()) {
                away.insert(primary);
                model.crash(primary);
            }
            break;
        case 3:
            if (replicas.size() > 1 && away.size() < 2) {
                const auto &id = replicas[draw(replicas.size())];
                away.insert(id);
                model.crash(id);
            }
            break;
        case 4:
            if (!deaf.empty())
                model.setDeaf(std::exchange(deaf, ""), false);
            else if (!replicas.empty())
                model.setDeaf(deaf = replicas[draw(replicas.size())], true);
            break;
        case 5:
            model.holdTransactions(replicas.empty() ? "" : replicas[draw(replicas.size())]);
            break;
        case 6:
            model.freezeProxy(draw(proxies), std::chrono::milliseconds(500 + draw(3000)));
            break;
        case 7:
            model.restartProxy(draw(proxies));
            break;
        default:
            model.takeStoreAway(std::chrono::milliseconds(500 + draw(3000)));
            break;
        }
        model.run(std::chrono::milliseconds(100 + draw(2000)));
        if (!away.empty() && draw(3) == 0) {
            model.restart(*away.begin());
            away.erase(away.begin());
        }
    }
    if (!deaf.empty())
        model.setDeaf(deaf, false);
    model.holdTransactions("");
    for (const auto &id : away)
        model.restart(id);
    model.run(30s);
}

/// Last seed to play; a higher one than that of the suite can be given by hand.
std::uint64_t lastSeed()
{
    const char *value = std::getenv("REPLICATION_SEEDS");
    return value == nullptr ? 60 : std::stoull(value);
}

/// Seeds beyond those of the suite that have failed.
constexpr std::array<std::uint64_t, 5> storeAwaySeeds{438, 498, 302, 178, 89};

void checkDrawnFaults(std::uint64_t seed, bool obeysDemote)
{
    ReplicationModelSettings settings;
    settings.servers = 2 + seed % 4;
    settings.confirmReplicas = settings.servers > 4 && seed % 3 == 0 ? 2 : 1;
    settings.obeysDemote = obeysDemote;
    ReplicationModel model(settings, seed);
    playFaults(model, seed, settings.proxies);
    BOOST_TEST(model.lost() == 0U, "seed " << seed << '\n' << model.trace());
    BOOST_TEST((model.sinceAcknowledged() < 4s), "seed " << seed << '\n' << model.trace());
}

} // namespace

// Guards against lost commits, and against a group that stays without a primary, in any order of
// replacements, joins, crashes, deaf replicas, full connections, frozen or restarted proxies and
// outages of the store.
BOOST_AUTO_TEST_CASE(drawn_faults_lose_no_acknowledged_commit)
{
    for (std::uint64_t seed = 1; seed <= lastSeed(); ++seed)
        checkDrawnFaults(seed, true);
}

// Guards against the same with servers that stay primary when they are demoted.
BOOST_AUTO_TEST_CASE(drawn_faults_lose_no_commit_without_demotion)
{
    for (std::uint64_t seed = 1; seed <= lastSeed(); ++seed)
        checkDrawnFaults(seed, false);
}

// Guards against commits that a promotion loses because its choice was recorded long after it was
// made, when the store was back: the primary had returned and a replica had joined (438, 498); and
// against a group without a primary because an order that was withdrawn still delayed others (302);
// against a choice that was confirmed before the entries of joined replicas were read (178); and
// against a group that waits for the unconfirmed end of a former primary's log (89).
BOOST_DATA_TEST_CASE(choice_that_waited_for_the_store_loses_no_commit, storeAwaySeeds, seed)
{
    checkDrawnFaults(seed, true);
}

namespace {

/// Plays disruptions that are drawn from \a seed and overlap: servers that are silent, cut from the
/// store, deaf or crashed, the primary among them also soon after its promotion, and proxies that
/// restart together. Then it lets all of them run.
void playSilences(ReplicationModel &model, std::uint64_t seed, std::size_t proxies)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t count) { return static_cast<std::size_t>(random() % count); };
    const auto drawTime = [&](std::size_t least, std::size_t most) {
        return std::chrono::milliseconds(least + draw(most - least));
    };
    std::map<std::string, Duration> returns; ///< Time until crashed servers are back.
    std::map<std::string, Duration> deaf;    ///< Time until deaf replicas receive again.
    constexpr Duration step = 100ms;
    const auto endDue = [&](std::map<std::string, Duration> &disruptions, const auto &end) {
        for (auto &[id, left] : disruptions) {
            left -= step;
            if (left <= Duration::zero())
                end(id);
        }
        std::erase_if(disruptions, [](const auto &entry) { return entry.second.count() <= 0; });
    };
    const auto run = [&](Duration duration) {
        for (; duration > Duration::zero(); duration -= step) {
            model.run(step);
            endDue(returns, [&](const std::string &id) { model.restart(id); });
            endDue(deaf, [&](const std::string &id) { model.setDeaf(id, false); });
        }
    };
    const auto crash = [&](const std::string &id) {
        if (id.empty() || returns.contains(id))
            return;
        model.crash(id);
        returns[id] = drawTime(1000, 9000);
    };
    run(3s);
    for (int event = 0; event < 10; ++event) {
        const auto replicas = model.replicas();
        const auto replica = replicas.empty() ? std::string() : replicas[draw(replicas.size())];
        const auto primary = model.primary();
        switch (draw(10)) {
        case 0:
        case 1:
            crash(primary);
            break;
        case 2:
            crash(replica);
            break;
        case 3:
            if (!replica.empty())
                model.darken(replica, drawTime(300, 9000));
            break;
        case 4:
            if (!primary.empty())
                model.darken(primary, drawTime(800, 6000));
            break;
        case 5:
        case 6:
            if (!replica.empty() && !deaf.contains(replica)) {
                model.setDeaf(replica, true);
                deaf[replica] = drawTime(2000, 8000);
            }
            break;
        case 7:
            if (!replica.empty())
                model.cutFromStore(replica, drawTime(3000, 9000));
            break;
        case 8:
            if (draw(2) == 0)
                model.restartAllProxies();
            else
                model.freezeProxy(draw(proxies), drawTime(500, 3500));
            break;
        default:
            if (draw(2) == 0)
                model.takeStoreAway(drawTime(500, 3000));
            else if (!replica.empty())
                model.delayAnswers(replica, drawTime(50, 400), drawTime(1000, 4000));
            break;
        }
        run(drawTime(100, 2500));
    }
    run(10s);
    model.run(25s);
}

/// Seeds beyond those of the suite that have failed.
constexpr std::array<std::uint64_t, 4> withdrawnOrderSeeds{505, 793, 1399, 1566};

void checkDrawnSilences(std::uint64_t seed)
{
    ReplicationModelSettings settings;
    settings.servers = 3 + seed % 3;
    settings.confirmReplicas = settings.servers > 4 && seed % 2 == 0 ? 2 : 1;
    ReplicationModel model(settings, seed);
    playSilences(model, seed, settings.proxies);
    BOOST_TEST(model.lost() == 0U, "seed " << seed << '\n' << model.trace());
    BOOST_TEST((model.sinceAcknowledged() < 4s), "seed " << seed << '\n' << model.trace());
}

} // namespace

// Guards against lost commits, and against a group that stays without a primary, while servers are
// silent, without an entry, deaf or away in any order, also just after a promotion, and while no
// proxy remembers what was before.
BOOST_AUTO_TEST_CASE(drawn_silences_lose_no_acknowledged_commit)
{
    for (std::uint64_t seed = 1; seed <= lastSeed(); ++seed)
        checkDrawnSilences(seed);
}

// Guards against a group without a primary because all logs counted as forked after a promotion
// without commits and a withdrawn order.
BOOST_DATA_TEST_CASE(withdrawn_order_leaves_servers_to_promote, withdrawnOrderSeeds, seed)
{
    checkDrawnSilences(seed);
}

BOOST_AUTO_TEST_SUITE_END()
