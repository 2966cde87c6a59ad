#include "peers/membershipactor.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Shortest time between two ticks; due times are rounded up to it.
constexpr Duration tickResolution = std::chrono::milliseconds(100);

/// Wakes the actor at the membership's next due time.
struct MembershipTick
{
};

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::MembershipTick)

namespace shallotwalk {

MembershipActor::MembershipActor(caf::actor_config &config, MemberUpdate self,
                                 std::vector<MemberAddress> seeds,
                                 std::shared_ptr<const Clock> clock, caf::actor peers,
                                 std::shared_ptr<Subscribers> subscribers)
    : caf::event_based_actor(config)
    , membership_(self, std::move(seeds), std::hash<std::string>{}(self.vm) ^ self.incarnation)
    , clock_(std::move(clock))
    , peers_(std::move(peers))
    , subscribers_(std::move(subscribers))
{
    set_down_handler(
        [this](const caf::down_msg &message) { subscribers_->remove(message.source); });
}

caf::behavior MembershipActor::make_behavior()
{
    for (const auto &subscriber : *subscribers_)
        monitor(subscriber);
    tick();
    return {
        [this](MembershipTick) {
            if (clock_->now() >= tickDue_)
                tick();
        },
        [this](const PeerMessageReceived &received) {
            const auto *message = std::get_if<MembershipMessage>(&received.message);
            if (message == nullptr)
                return;
            ++messagesReceived_;
            perform(membership_.receive(received.vm, *message, clock_->now()), received.vm);
            scheduleTick();
        },
        [this](const SubscribeMembers &message) { subscribe(message.subscriber); },
        [this](const AnnounceConfiguration &message) {
            membership_.announceConfiguration(message.version);
        },
        [this](const SetPeerHandlers &handlers) { configuration_ = handlers.configuration; },
        [this](SetMembershipSeeds &message) { membership_.setSeeds(std::move(message.seeds)); },
        [this](const UsePeersActor &message) {
            peers_ = message.peers;
            subscribe(peers_);
        },
        [this](DrainRequest) { quit(); },
        [this](StateDumpRequest) { return dumpState(); },
    };
}

void MembershipActor::on_exit()
{
    peers_ = nullptr;
    configuration_ = nullptr;
    subscribers_.reset();
}

void MembershipActor::tick()
{
    perform(membership_.tick(clock_->now()), {});
    tickDue_ = TimePoint{};
    scheduleTick();
}

void MembershipActor::scheduleTick()
{
    const auto now = clock_->now();
    const auto due = std::max(membership_.nextDue(), now + tickResolution);
    if (tickDue_ > now && tickDue_ <= due)
        return;
    tickDue_ = due;
    delayed_send(this, due - now, MembershipTick{});
}

void MembershipActor::subscribe(const caf::actor &subscriber)
{
    if (!subscriber)
        return;
    if (subscribers_->add(subscriber))
        monitor(subscriber);
    send(subscriber, currentMembers());
}

void MembershipActor::perform(MembershipActions actions, const std::string &from)
{
    if (actions.membersChanged) {
        const auto changed = currentMembers();
        for (const auto &subscriber : *subscribers_)
            send(subscriber, changed);
    }
    if (actions.newerConfiguration && configuration_)
        send(configuration_, NewerConfiguration{from, *actions.newerConfiguration});
    for (auto &message : actions.sends)
        send(peers_, SendPeerMessage{std::move(message.vm), std::move(message.host), message.port,
                                     std::move(message.message)});
}

MembersChanged MembershipActor::currentMembers() const
{
    MembersChanged changed;
    for (auto &member : membership_.liveMembers())
        changed.members.push_back({std::move(member.vm), std::move(member.host), member.port,
                                   std::move(member.dataCentre), true});
    return changed;
}

StateDump MembershipActor::dumpState() const
{
    boost::json::object members;
    for (const auto &member : membership_.liveMembers())
        members[member.vm] = member.state == MemberState::Alive ? "alive" : "suspect";
    boost::json::object state;
    state["incarnation"] = membership_.self().incarnation;
    state["messagesReceived"] = messagesReceived_;
    state["members"] = std::move(members);
    return StateDump{std::move(state)};
}

} // namespace shallotwalk
