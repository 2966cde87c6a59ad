#pragma once

#include "core/membership.h"
#include "peers/connectionmessages.h"
#include "peers/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <vector>

namespace shallotwalk {

/// Replaces the addresses that membership contacts first, such as after a change of the list of
/// VMs.
struct SetMembershipSeeds
{
    std::vector<MemberAddress> seeds;
};

/// Runs the membership protocol over the peer connections. Answers SubscribeMembers with
/// MembersChanged messages, the first at once. All methods run on the actor's own thread.
class MembershipActor : public caf::event_based_actor
{
public:
    /// \a self is this VM with the address under which peers reach it, \a subscribers are those of
    /// an earlier run.
    MembershipActor(caf::actor_config &config, MemberUpdate self, std::vector<MemberAddress> seeds,
                    std::shared_ptr<const Clock> clock, caf::actor peers,
                    std::shared_ptr<Subscribers> subscribers = std::make_shared<Subscribers>());

    caf::behavior make_behavior() override;

    /// Gives up the handles of other actors, which hold this actor's handle in turn.
    void on_exit() override;

private:
    void tick();
    void scheduleTick();
    void subscribe(const caf::actor &subscriber);
    void perform(MembershipActions actions, const std::string &from);
    MembersChanged currentMembers() const;
    StateDump dumpState() const;

    Membership membership_;
    std::shared_ptr<const Clock> clock_;
    caf::actor peers_;
    caf::actor configuration_;
    std::shared_ptr<Subscribers> subscribers_;
    TimePoint tickDue_;
    std::uint64_t messagesReceived_ = 0;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SetMembershipSeeds)
