#include "gateway/gateway.h"
#include "gateway/promotionactor.h"
#include "gateway/registryrecords.h"
#include "gatewayactors/fakestoreprotocol.h"
#include "support/printrevision.h"

#include <boost/test/unit_test.hpp>
#include <caf/io/middleman.hpp>
#include <caf/scoped_actor.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

/// Stands in for an HttpCaller: answers each call with status 200 and forwards it to \a observer.
caf::behavior fakeCaller(caf::event_based_actor *self, const caf::actor &observer)
{
    return {[=](const HttpCallRequest &request) {
        self->send(observer, request);
        HttpCallResult result;
        result.response.status = 200;
        return result;
    }};
}

struct PromotionFixture
{
    PromotionFixture()
        : config()
        , system((configureGateway(config), config))
        , self(system)
    {
        PromotionContext context;
        context.vm = "front-1";
        context.protocols.store = store;
        context.storeCaller = system.spawn(fakeCaller, caf::actor(self));
        context.groups = self;
        context.clock = std::make_shared<BootClock>();
        promotions = system.middleman().spawn_broker(&PromotionActor::run, std::move(context));
    }
    ~PromotionFixture() { caf::anon_send_exit(promotions, caf::exit_reason::user_shutdown); }

    caf::actor_system_config config;
    caf::actor_system system;
    caf::scoped_actor self;
    std::shared_ptr<FakeStoreProtocol> store = std::make_shared<FakeStoreProtocol>();
    caf::actor promotions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(promotion_actor, PromotionFixture)

// Guards against a promotion that restores transactions which an earlier promotion has rolled back.
// A proxy that had lost the store chose a server before it had read that the group had a new
// primary, and its order overwrote the newer record. A fault run with seed 417241688857 counted 216
// stale answers.
BOOST_AUTO_TEST_CASE(order_is_recorded_only_over_the_record_that_the_choice_was_made_with)
{
    const PromotionRecord newer{"bookings", "r1", "front-2", "nonce", {1, 113}, 27};
    store->written.conflictingItem = KeyValue{"promotions/bookings", encodePromotion(newer), 27};
    self->send(promotions, OrderPromotion{{"bookings", "r2", {1, 161}, "no_primary"}, 12});
    std::string expectedRevision;
    self->receive([&](const HttpCallRequest &request) { expectedRevision = request.call.target; },
                  caf::after(5s) >> [] { BOOST_ERROR("no record was written"); });
    BOOST_TEST(expectedRevision == "12");
    // The group is sent the newer record, which its choice did not take into account.
    PromotionRecord reported;
    self->receive([&](const PromotionRecorded &message) { reported = message.record; },
                  caf::after(5s) >> [] { BOOST_ERROR("no PromotionRecorded was sent"); });
    BOOST_TEST(reported.server == "r1");
    bool failed = false;
    self->receive([&](const PromotionFailed &) { failed = true; },
                  caf::after(5s) >> [] { BOOST_ERROR("no PromotionFailed was sent"); });
    BOOST_TEST(failed);
}

// Guards against commits that a promotion loses because its choice was recorded long after it was
// made: meanwhile the primary has returned, and a replica has joined and confirmed commits.
BOOST_AUTO_TEST_CASE(order_that_the_group_does_not_confirm_is_withdrawn)
{
    store->written.written = true;
    store->written.revision = 28;
    self->send(promotions, OrderPromotion{{"bookings", "r2", {1, 161}, "no_primary"}, 27});
    self->receive([](const HttpCallRequest &) {},
                  caf::after(5s) >> [] { BOOST_ERROR("no record was written"); });
    ConfirmPromotion asked;
    self->receive([&](const ConfirmPromotion &message) { asked = message; },
                  caf::after(5s) >> [] { BOOST_ERROR("the group was not asked"); });
    BOOST_TEST(asked.choice.server == "r2");
    BOOST_TEST(asked.token == 28);
    self->send(promotions, PromotionConfirmed{"bookings", asked.token, false});
    bool failed = false;
    std::string expectedRevision;
    for (int i = 0; i < 2; ++i) {
        self->receive(
            [&](const PromotionFailed &) { failed = true; },
            [&](const HttpCallRequest &request) { expectedRevision = request.call.target; },
            caf::after(5s) >> [] { BOOST_ERROR("the order was not withdrawn"); });
    }
    BOOST_TEST(failed);
    // Only its own record is replaced.
    BOOST_TEST(expectedRevision == "28");
}

// Guards against an order that the platform rejects, or that has the token of another one, because
// the store has gone back and gives out revisions again.
BOOST_AUTO_TEST_CASE(token_rises_over_eras_of_the_store)
{
    store->written.written = true;
    store->written.revision = {40, 3};
    self->send(promotions, OrderPromotion{{"bookings", "r2", {1, 161}, "no_primary"}, {}, 1});
    self->receive([](const HttpCallRequest &) {},
                  caf::after(5s) >> [] { BOOST_ERROR("no record was written"); });
    self->receive(
        [](const ConfirmPromotion &message) {
            BOOST_TEST(message.token > StoreRevision(1'000'000, 2).fencingToken());
        },
        caf::after(5s) >> [] { BOOST_ERROR("the group was not asked"); });
}

// Guards against an order that is recorded over a record which its choice didn't consider: the
// store has gone back and has given the revision of the known record to another one.
BOOST_AUTO_TEST_CASE(record_written_over_one_of_another_era_is_withdrawn)
{
    store->written.written = true;
    store->written.revision = {28, 2};
    self->send(promotions, OrderPromotion{{"bookings", "r2", {1, 161}, "no_primary"}, {27, 1}, 6});
    self->receive([](const HttpCallRequest &) {},
                  caf::after(5s) >> [] { BOOST_ERROR("no record was written"); });
    bool failed = false;
    std::string expectedRevision;
    for (int i = 0; i < 2; ++i) {
        self->receive(
            [&](const PromotionFailed &) { failed = true; },
            [&](const HttpCallRequest &request) { expectedRevision = request.call.target; },
            caf::after(5s) >> [] { BOOST_ERROR("the order was not withdrawn"); });
    }
    BOOST_TEST(failed);
    BOOST_TEST(expectedRevision == "2.28");
}

BOOST_AUTO_TEST_SUITE_END()
