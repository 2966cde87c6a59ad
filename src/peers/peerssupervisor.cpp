#include "peers/peerssupervisor.h"

#include "peers/connectionmessages.h"
#include "peers/membershipactor.h"
#include "peers/peerlistener.h"
#include "peers/peersactor.h"

#include <caf/io/middleman.hpp>

namespace shallotwalk {

namespace {

/// Handles of the running children. Used only by the start functions, which all run on the
/// supervisor's thread.
struct Branch
{
    PeersSettings settings;
    std::shared_ptr<const PeerIdentity> identity;
    std::shared_ptr<const Clock> clock;
    caf::actor peers;
    UsePeerParts parts;
    std::shared_ptr<Subscribers> members = std::make_shared<Subscribers>();
    std::uint64_t membershipStarts = 0;
};

caf::actor startPeers(Branch &branch, caf::event_based_actor *supervisor)
{
    branch.peers = supervisor->system().spawn<PeersActor>(branch.identity, branch.clock);
    supervisor->send(branch.peers, branch.parts);
    for (const auto &part : {branch.parts.listener, branch.parts.membership}) {
        if (part)
            supervisor->send(part, UsePeersActor{branch.peers});
    }
    return branch.peers;
}

caf::actor startMembership(Branch &branch, caf::event_based_actor *supervisor)
{
    const auto &settings = branch.settings;
    // A restart begins a new incarnation, which overrides what others believe of the old one.
    const auto incarnation = settings.incarnation + branch.membershipStarts++;
    branch.parts.membership = supervisor->system().spawn<MembershipActor>(
        MemberUpdate{settings.identity.vm, settings.advertisedHost, settings.port,
                     settings.identity.dataCentre, MemberState::Alive, incarnation},
        settings.seeds, branch.clock, branch.peers, branch.members);
    supervisor->send(branch.peers, branch.parts);
    return branch.parts.membership;
}

caf::actor startListener(Branch &branch, caf::event_based_actor *supervisor)
{
    PeerListenerOptions options{branch.settings.listenHost,
                                branch.settings.port,
                                {branch.identity, branch.clock, branch.peers, {}, {}, {}}};
    branch.parts.listener =
        supervisor->system().middleman().spawn_broker(peerListener, std::move(options));
    supervisor->send(branch.peers, branch.parts);
    return branch.parts.listener;
}

} // namespace

std::vector<ChildSpecification> peersChildren(const PeersSettings &settings,
                                              std::shared_ptr<const Clock> clock)
{
    auto branch = std::make_shared<Branch>();
    branch->settings = settings;
    branch->identity = std::make_shared<PeerIdentity>(settings.identity);
    branch->clock = std::move(clock);
    using Self = caf::event_based_actor;
    return {
        {"peers", [branch](Self *supervisor) { return startPeers(*branch, supervisor); }},
        {"membership", [branch](Self *supervisor) { return startMembership(*branch, supervisor); }},
        {"listener", [branch](Self *supervisor) { return startListener(*branch, supervisor); }},
    };
}

} // namespace shallotwalk
