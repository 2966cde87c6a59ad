#include "sessions/replicationmodel.h"

#include <boost/test/unit_test.hpp>

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
        BOOST_TEST(model.promoted().size() > 0U, model.events());
        BOOST_TEST(model.acknowledged() > 100U);
        BOOST_TEST(model.lost() == 0U, model.events());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.events());
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
        BOOST_TEST(model.promoted().size() == 1U, model.events());
        BOOST_TEST(model.acknowledged() > 100U);
        BOOST_TEST(model.lost() == 0U, model.events());
        BOOST_TEST((model.sinceAcknowledged() < 1s), model.events());
    }
}

BOOST_AUTO_TEST_SUITE_END()
