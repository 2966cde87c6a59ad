#include "sessions/fakeport.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

/// Loses each request that it is given.
class LosingPolicy : public FairSharePolicy
{
public:
    std::optional<Failure> submit(const WorkItem &, const Capacity &, TimePoint) override
    {
        return std::nullopt;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(stranded_requests)

// Guards against a client that waits for good because a queue has lost its request.
BOOST_AUTO_TEST_CASE(request_that_its_queue_has_lost_is_refused_at_its_deadline)
{
    FakePort port;
    GroupSchedulerSettings settings;
    settings.makePolicy = [] { return std::make_unique<LosingPolicy>(); };
    GroupScheduler scheduler(settings, port);
    TimePoint now{1000s};
    ServerRegistration server;
    server.id = "p";
    server.primary = true;
    scheduler.setServers({&server, 1}, now);
    scheduler.replied(port.opened.front(), {}, now);
    GroupRequest request;
    request.number = 1;
    request.session = 1;
    request.values = std::make_shared<SessionValues>();
    request.receivedAt = now;
    request.deadline = now + 800ms;
    scheduler.submit(request, now);
    BOOST_TEST(scheduler.openRequests() == 1U);
    now = request.deadline;
    scheduler.tick(now);
    BOOST_REQUIRE(port.answerCount[1] == 1);
    BOOST_TEST((port.answers.at(1).answer.error == AnswerCode::Busy));
    BOOST_TEST((port.stranded == std::vector<RequestNumber>{1}));
}

BOOST_AUTO_TEST_SUITE_END()
