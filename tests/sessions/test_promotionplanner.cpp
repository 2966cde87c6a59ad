#include "core/core.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

struct PlannerFixture
{
    PlannerFixture()
    {
        primary.id = "p";
        primary.primary = true;
        replica.id = "r";
        replica.reportedAt = now;
        replica.received = {1, 100};
    }

    FailoverStep review(Duration missingFor = {})
    {
        const std::vector servers{primary, replica};
        return planner.review(servers, missingFor, now);
    }
    FailoverStep review(const std::vector<FailoverCandidate> &servers)
    {
        return planner.review(servers, {}, now);
    }

    TimePoint now{std::chrono::seconds(1000)};
    PromotionPlanner planner;
    FailoverCandidate primary;
    FailoverCandidate replica;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(promotion_planner, PlannerFixture)

BOOST_AUTO_TEST_CASE(healthy_primary_stays)
{
    const auto step = review();
    BOOST_TEST(!step.suspected);
    BOOST_TEST(step.server.empty());
}

BOOST_AUTO_TEST_CASE(silent_primary_is_replaced_after_its_limit)
{
    primary.silence = planner.settings().silenceLimit - 1ms;
    BOOST_TEST(review().server.empty());
    primary.silence += 1ms;
    BOOST_TEST(review().server == "r");
}

// Guards against a promotion by one proxy that is cut off from the primary but reaches the store:
// the three proxies that still reached the replaced primary could serve no write for 7 s.
BOOST_AUTO_TEST_CASE(silent_primary_stays_until_half_of_the_witnesses_agree)
{
    primary.silence = 3s;
    planner.setAgreement(1, 4);
    BOOST_TEST(review().server.empty());
    BOOST_TEST(review().reportSuspicion);
    planner.setAgreement(2, 4);
    BOOST_TEST(review().server == "r");
}

BOOST_AUTO_TEST_CASE(leaving_primary_needs_no_agreement)
{
    primary.leaving = true;
    planner.setAgreement(0, 4);
    BOOST_TEST(review().server == "r");
}

// Guards against a promotion that is delayed because the other proxies' agreement isn't known yet
// when the silence limit is reached.
BOOST_AUTO_TEST_CASE(suspicion_is_reported_before_the_limit)
{
    primary.silence = planner.settings().suspicionLimit;
    const auto step = review();
    BOOST_TEST(step.reportSuspicion);
    BOOST_TEST(!step.suspected);
}

// Guards against choosing a replica by an outdated log position.
BOOST_AUTO_TEST_CASE(replica_without_a_recent_report_is_not_chosen)
{
    primary.refusedFor = 1s;
    replica.reportedAt = now - 600ms;
    const auto step = review();
    BOOST_TEST(step.requestReports);
    BOOST_TEST(step.server.empty());
}

// Guards against proxies that override each other's promotions: the order of another proxy gets
// time to take effect.
BOOST_AUTO_TEST_CASE(no_order_follows_another_proxys_order)
{
    primary.refusedFor = 1s;
    planner.orderSeen(now);
    BOOST_TEST(review().server.empty());
    planner.orderFailed(now); // An order of this proxy that lost the race.
    now += 1s;
    replica.reportedAt = now;
    BOOST_TEST(review().server.empty());
    now += 2s;
    replica.reportedAt = now;
    BOOST_TEST(review().server == "r");
}

BOOST_AUTO_TEST_CASE(failed_order_is_followed_by_another_after_the_retry_delay)
{
    primary.refusedFor = 1s;
    planner.orderGiven(now);
    planner.orderFailed(now);
    BOOST_TEST(review().server.empty());
    now += planner.settings().retryDelay;
    replica.reportedAt = now;
    BOOST_TEST(review().server == "r");
}

BOOST_AUTO_TEST_CASE(missing_primary_is_replaced_after_its_limit)
{
    primary.primary = false;
    primary.reportedAt = now;
    primary.received = {1, 90};
    BOOST_TEST(review(500ms).server.empty());
    BOOST_TEST(review(1s).server == "r");
}

// Guards against the loss of a commit that one replica confirms while another replica is chosen.
BOOST_AUTO_TEST_CASE(replicas_that_confirm_commits_are_paused_before_the_choice)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    auto other = replica;
    other.id = "s";
    other.received = {1, 101};
    BOOST_TEST(review(std::vector{primary, replica, other}).pauseReplicas);
    BOOST_TEST(review(std::vector{primary, replica, other}).server.empty());
    other.paused = true;
    BOOST_TEST(review(std::vector{primary, replica, other}).server.empty());
    replica.paused = true;
    auto step = review(std::vector{primary, replica, other});
    BOOST_TEST(!step.pauseReplicas);
    BOOST_TEST(step.demotePrimary);
    BOOST_TEST(step.server.empty());
    primary.primary = false;
    primary.demoted = true;
    primary.reportedAt = now;
    primary.received = {1, 105};
    primary.demotedAt = now;
    // A replica that joined just before the demotion may have confirmed what the others lack.
    BOOST_TEST(review(std::vector{primary, replica, other}).server.empty());
    primary.demotedAt = now - planner.settings().joinNoticeTime;
    step = review(std::vector{primary, replica, other});
    BOOST_TEST(!step.demotePrimary);
    BOOST_TEST(!step.pauseReplicas);
    BOOST_TEST(step.server == "s");
}

// Guards against commits that a replica confirms which joins after the choice: a primary that
// answers is demoted before the order, and one that doesn't delays the order only shortly.
BOOST_AUTO_TEST_CASE(primary_that_answers_is_demoted_before_the_order)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    replica.paused = true;
    BOOST_TEST(review().demotePrimary);
    primary.demotionWantedAt = now;
    BOOST_TEST(review().demotePrimary);
    BOOST_TEST(review().server.empty());
    primary.demotionRefused = true;
    BOOST_TEST(review().server == "r");
    primary.demotionRefused = false;
    now += planner.settings().demotionTimeout;
    replica.reportedAt = now;
    BOOST_TEST(review().server == "r");
    primary.demotionWantedAt.reset();
    primary.refusedFor = 1s;
    BOOST_TEST(review().server == "r");
    planner.setConfirmReplicas(0);
    primary.refusedFor = {};
    BOOST_TEST(!review().demotePrimary);
    BOOST_TEST(review().server == "r");
}

// Guards against a replacement that waits until no commit does: the primary reported, but counted
// as silent since its last report, and the replicas had reported just before.
BOOST_AUTO_TEST_CASE(commits_that_wait_do_not_delay_the_choice)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    primary.demotionRefused = true;
    primary.reportedAt = now - 50ms;
    primary.silence = 50ms;
    replica.paused = true;
    replica.reportedAt = now - 51ms;
    BOOST_TEST(review().server == "r");
}

// Guards against a replica that joins while an order is pending and confirms commits until then.
BOOST_AUTO_TEST_CASE(replica_that_joins_during_an_order_is_paused)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    replica.paused = true;
    planner.orderGiven(now);
    BOOST_TEST(!review().pauseReplicas);
    auto joined = replica;
    joined.id = "j";
    joined.paused = false;
    BOOST_TEST(review(std::vector{primary, replica, joined}).pauseReplicas);
}

// Guards against a proxy that withholds commits for good because of an order that was neither
// carried out nor withdrawn.
BOOST_AUTO_TEST_CASE(unfinished_promotion_is_ordered_again)
{
    planner.setConfirmReplicas(1);
    primary.supersededByOrder = true;
    planner.orderSeen(now);
    BOOST_TEST(review().pauseReplicas);
    replica.paused = true;
    primary.demotionRefused = true;
    BOOST_TEST(review().server.empty());
    now += planner.settings().orderInterval;
    replica.reportedAt = now;
    BOOST_TEST(review().server == "r");
}

// Guards against the loss of a commit that only a replica which is leaving has received.
BOOST_AUTO_TEST_CASE(leaving_replica_with_the_longest_log_is_chosen_where_replicas_confirm)
{
    planner.setConfirmReplicas(1);
    primary.refusedFor = 1s;
    replica.paused = true;
    auto leaving = replica;
    leaving.id = "l";
    leaving.leaving = true;
    BOOST_TEST(review(std::vector{primary, replica, leaving}).server == "r");
    leaving.received = {1, 101};
    BOOST_TEST(review(std::vector{primary, replica, leaving}).server == "l");
}

// Guards against a replica that confirms commits unnoticed because it has never reported.
BOOST_AUTO_TEST_CASE(replica_that_was_never_asked_prevents_the_choice)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    primary.demotionRefused = true;
    replica.paused = true;
    FailoverCandidate unasked;
    unasked.id = "u";
    unasked.mayHaveForked = true;
    BOOST_TEST(review(std::vector{primary, replica, unasked}).server.empty());
    BOOST_TEST(review(std::vector{primary, replica}).server == "r");
}

// Guards against a replica that has restarted since its pause, and confirms commits again.
BOOST_AUTO_TEST_CASE(paused_replica_without_a_recent_report_prevents_the_choice)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    primary.demotionRefused = true;
    replica.paused = true;
    auto silent = replica;
    silent.id = "s";
    silent.reportedAt = now - planner.settings().maxReportAge;
    BOOST_TEST(review(std::vector{primary, replica, silent}).server.empty());
}

// Guards against a pause that blocks commits although it can't lead to a promotion.
BOOST_AUTO_TEST_CASE(nothing_is_paused_while_a_replica_that_may_hold_commits_is_silent)
{
    planner.setConfirmReplicas(1);
    primary.leaving = true;
    auto silent = replica;
    silent.id = "s";
    silent.silence = 2s;
    BOOST_TEST(!review(std::vector{primary, replica, silent}).pauseReplicas);
    silent.registered = false;
    BOOST_TEST(review(std::vector{primary, replica, silent}).pauseReplicas);
}

// Guards against the loss of a commit that only a replica whose entry is gone has confirmed.
BOOST_AUTO_TEST_CASE(departed_replica_that_may_hold_more_prevents_the_choice)
{
    planner.setConfirmReplicas(1);
    primary.refusedFor = 1s;
    replica.paused = true;
    const std::vector servers{primary, replica};
    DepartedReplicas departed;
    const auto step = [&] { return planner.review(servers, {}, now, departed.replicas()); };
    departed.add({"d", now - 3s, std::nullopt, {1, 90}});
    BOOST_TEST(step().server.empty());
    BOOST_REQUIRE(step().blockedBy.size() == 1);
    BOOST_TEST(step().blockedBy.front() == "d");
    departed.primaryReported({1, 101}, now - 4s); // Asked before the departure.
    departed.primaryReported({1, 100}, now - 2s);
    BOOST_TEST(step().server == "r");
    planner.setConfirmReplicas(2);
    departed.add({"e", now - 3s, std::nullopt, {1, 90}});
    replica.paused = true;
    BOOST_TEST(step().server == "r");
}

// Guards against a group that waits for a departed replica although others hold all that it held.
BOOST_AUTO_TEST_CASE(departed_replica_is_dropped_once_others_hold_its_commits)
{
    DepartedReplicas departed;
    departed.add({"d", now, std::nullopt, {1, 90}});
    departed.replicaReported("r", {1, 200});
    BOOST_TEST(departed.replicas().size() == 1U);
    departed.primaryReported({1, 101}, now);
    departed.replicaReported("r", {1, 100});
    BOOST_TEST(departed.replicas().size() == 1U);
    departed.replicaReported("r", {1, 101});
    BOOST_TEST(departed.replicas().empty());
    // It is back with its log, or a primary of a newer term leads.
    departed.add({"d", now, std::nullopt, {1, 90}});
    departed.replicaReported("d", {1, 90});
    BOOST_TEST(departed.replicas().empty());
    // It is gone a second time: what the primary has said before doesn't bound what it holds.
    departed.add({"d", now, Position{1, 95}, {1, 90}});
    departed.add({"d", now, std::nullopt, {1, 90}});
    BOOST_REQUIRE(departed.replicas().size() == 1);
    BOOST_TEST(!departed.replicas().front().limit.has_value());
    departed.returned("d");
    BOOST_TEST(departed.replicas().empty());
    departed.add({"d", now, std::nullopt, {1, 90}});
    departed.addUnknown(now);
    departed.termChanged();
    BOOST_REQUIRE(departed.replicas().size() == 1);
    BOOST_TEST(departed.replicas().front().id.empty());
    departed.removeUnknownBefore(now + 1ms);
    BOOST_TEST(departed.replicas().empty());
}

// Guards against a group whose paused replicas can't receive what a departed one may have
// confirmed: the former primary holds it, so it is demoted and leads again.
BOOST_AUTO_TEST_CASE(former_primary_leads_again_where_no_replica_holds_all_commits)
{
    planner.setConfirmReplicas(1);
    replica.paused = true;
    primary.received = {1, 105};
    primary.reportedAt = now;
    DepartedReplicas departed;
    departed.add({"d", now - 3s, Position{1, 104}, {1, 104}});
    BOOST_TEST(
        planner.review(std::vector{primary, replica}, {}, now, departed.replicas()).demotePrimary);
    primary.primary = false;
    primary.demoted = true;
    primary.demotedAt = now - 1s;
    const auto step = planner.review(std::vector{primary, replica}, {}, now, departed.replicas());
    BOOST_TEST(step.server == "p");
}

// Guards against the promotion of a replica that lacks commits which only one that can't be chosen
// has confirmed: that one counted as a holder, but wasn't compared with the choice.
BOOST_AUTO_TEST_CASE(replica_that_cannot_be_chosen_and_holds_more_prevents_the_choice)
{
    planner.setConfirmReplicas(1);
    primary.refusedFor = 1s;
    replica.paused = true;
    auto holder = replica;
    holder.id = "h";
    holder.received = {1, 101};
    holder.registered = false;
    holder.runsWithoutEntry = true;
    auto step = review({primary, replica, holder});
    BOOST_TEST(step.server.empty());
    BOOST_REQUIRE(step.blockedBy.size() == 1);
    BOOST_TEST(step.blockedBy.front() == "h");
    // Nor is a replica paused that could not be chosen then.
    replica.paused = false;
    BOOST_TEST(!review({primary, replica, holder}).pauseReplicas);
    replica.paused = true;
    holder.received = replica.received;
    BOOST_TEST(review({primary, replica, holder}).server == "r");
    holder.received = {1, 101};
    holder.registered = true;
    BOOST_TEST(review({primary, replica, holder}).server == "h");
}

// Guards against the promotion of a replica that lacks what was acknowledged before the last
// promotion, or what is known to have been acknowledged since, when nobody who holds it is known.
BOOST_AUTO_TEST_CASE(replica_behind_the_log_floor_prevents_the_choice)
{
    planner.setConfirmReplicas(1);
    planner.setLogFloor({1, 101});
    primary.refusedFor = 1s;
    replica.paused = true;
    const auto step = review();
    BOOST_TEST(step.server.empty());
    BOOST_REQUIRE(step.blockedBy.size() == 1);
    BOOST_TEST(step.blockedBy.front() == "acknowledged_log");
    replica.received = {1, 101};
    BOOST_TEST(review().server == "r");
    BOOST_TEST((review().floor == Position{1, 101}));
    // Where commits don't wait for replicas, the one that holds the most is promoted.
    replica.received = {1, 100};
    planner.setConfirmReplicas(0);
    BOOST_TEST(review().server == "r");
}

// Guards against a group that waits for a former primary, which has left, because of commits that
// nobody but it has received.
BOOST_AUTO_TEST_CASE(former_primary_counts_as_no_replica_of_its_term)
{
    planner.setConfirmReplicas(1);
    replica.paused = true;
    auto former = replica;
    former.id = "f";
    former.received = {1, 104};
    former.ledNewestTerm = true;
    const auto step = planner.review(std::vector{former, replica}, 2s, now);
    BOOST_TEST(step.server == "r");
    BOOST_TEST((step.floor == replica.received));
}

// Guards against replicas that stay paused, and commits that stay blocked, after the proxy that
// paused the replicas has ended.
BOOST_AUTO_TEST_CASE(paused_replicas_lead_to_a_promotion)
{
    planner.setConfirmReplicas(1);
    planner.setAgreement(0, 4);
    replica.paused = true;
    BOOST_TEST(review().demotePrimary);
    primary.demotionRefused = true;
    const auto step = review();
    BOOST_TEST(step.server == "r");
    BOOST_TEST(step.reason == "replicas_paused");
    BOOST_TEST(!step.suspected);
}

// Guards against a log floor that is above an acknowledged commit, which would block promotions
// that lose nothing, and against one that doesn't tell the term of the commit.
BOOST_AUTO_TEST_CASE(log_floor_is_at_or_below_each_acknowledged_commit)
{
    LogFloor floor;
    floor.commitAcknowledged({1, 20}, 1, {1, 25});
    BOOST_TEST((floor.position() == Position{1, 21}));
    // The server was a replica in term 1, so it committed in term 2.
    floor.commitAcknowledged({1, 24}, 2, {2, 25});
    BOOST_TEST((floor.position() == Position{2, 1}));
    // The answer to a commit of term 2 may come from term 3.
    floor.commitAcknowledged({2, 30}, 2, {3, 31});
    BOOST_TEST((floor.position() == Position{2, 31}));
    floor.commitAcknowledged({2, 10}, 2, {2, 40});
    floor.commitAcknowledged({3, 50}, 2, {2, 40}); // What was known before contradicts the answer.
    BOOST_TEST((floor.position() == Position{2, 31}));
    floor.setPromoted({2, 35});
    floor.heard({2, 33});
    BOOST_TEST((floor.acknowledged() == Position{2, 33}));
    BOOST_TEST((floor.position() == Position{2, 35}));
    floor.forgetAcknowledged();
    BOOST_TEST((floor.position() == Position{2, 35}));
}

BOOST_AUTO_TEST_SUITE_END()
