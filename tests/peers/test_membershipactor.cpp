#include "peers/peerfixture.h"
#include "support/freeports.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace shallotwalk;
using std::chrono::seconds;

namespace {

/// A whole peers branch under its supervisor.
struct Branch
{
    Branch(const std::string &vm, std::uint16_t port, std::vector<MemberAddress> seeds)
        : system(config)
        , self(system)
    {
        const PeersSettings settings{
            {vm, "dc", "key"}, "127.0.0.1", "127.0.0.1", port, std::move(seeds), 1};
        supervisor = system.spawn<Supervisor>(
            "peers", peersChildren(settings, std::make_shared<BootClock>()),
            std::make_shared<BootClock>(), RestartRule{}, caf::actor_cast<caf::actor>(self));
        for (int child = 0; child < 3; ++child)
            self->receive([this](const ChildStarted &started) {
                if (started.name == "membership")
                    membership = started.child;
                if (started.name == "peers")
                    peers = started.child;
            });
    }

    ~Branch() { self->send_exit(supervisor, caf::exit_reason::user_shutdown); }
    Branch(const Branch &) = delete;
    Branch &operator=(const Branch &) = delete;

    /// Waits until the membership has \a count members.
    void awaitMembers(std::size_t count)
    {
        self->send(membership, SubscribeMembers{caf::actor_cast<caf::actor>(self)});
        std::size_t seen = 0;
        while (seen != count) {
            bool timedOut = false;
            self->receive([&](const MembersChanged &message) { seen = message.members.size(); },
                          caf::after(seconds(10)) >> [&] { timedOut = true; });
            BOOST_REQUIRE(!timedOut);
        }
    }

    PeerSystemConfig config;
    caf::actor_system system;
    caf::scoped_actor self;
    caf::actor supervisor;
    caf::actor membership;
    caf::actor peers;
};

} // namespace

// Guards against proxies that don't find each other through a seed known only by its address, and
// against a peers branch whose parts don't know each other after a restart.
BOOST_AUTO_TEST_CASE(two_branches_find_each_other_and_survive_a_restart)
{
    const auto ports = freePorts(2);
    Branch first("vm1", ports[0], {});
    Branch second("vm2", ports[1], {{"", "127.0.0.1", ports[0]}});
    second.awaitMembers(2);
    first.awaitMembers(2);

    // The restarted actor must learn the members again to forward at all.
    first.self->send_exit(first.peers, caf::exit_reason::kill);
    first.self->receive([&](const ChildStarted &started) { first.peers = started.child; });
    std::string message;
    for (int attempt = 0; attempt < 100 && message != "peer accepts no forwarded statements";
         ++attempt) {
        const auto request = makeRequest(BootClock(), "x", Access::Read, seconds(5));
        first.self->request(first.peers, seconds(5), ForwardStatement{"vm2", request})
            .receive(
                [&](const StatementReply &reply) {
                    message = std::get<Failure>(reply.outcome).message;
                },
                [](const caf::error &) {});
        if (message != "peer accepts no forwarded statements")
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(message == "peer accepts no forwarded statements");
}
