#pragma once

#include "peers/connectionmessages.h"
#include "peers/messages.h"
#include "peers/peeridentity.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>

namespace shallotwalk {

/// Main actor of the peers branch. Keeps at most one outbound connection per peer, opened when it
/// is first used, answers ForwardStatement, sends control messages, and passes what arrives from
/// peers to the handlers. Control messages also use a connection that the peer has opened;
/// forwards don't, because only the side that opened a connection closes it when idle. All methods
/// run on the actor's own thread.
class PeersActor : public caf::event_based_actor
{
public:
    PeersActor(caf::actor_config &config, std::shared_ptr<const PeerIdentity> identity,
               std::shared_ptr<const Clock> clock);

    caf::behavior make_behavior() override;

    /// Gives up the handles of other actors, which hold this actor's handle in turn.
    void on_exit() override;

private:
    using Promise = caf::typed_response_promise<StatementReply>;

    /// A forward that has not been answered.
    struct Forwarding
    {
        ForwardStatement message;
        Promise promise;
    };

    /// Connections to one peer, by its name, or by address while the name is unknown.
    struct Link
    {
        std::string vm; ///< Empty if only the address is known.
        std::string host;
        std::uint16_t port = 0;
        caf::actor outbound; ///< Authenticated.
        caf::actor inbound;  ///< Authenticated, opened by the peer.
        caf::actor opening;  ///< Connected, but not authenticated.
        bool connecting = false;
        std::size_t failures = 0; ///< Attempts in a row that failed.
        TimePoint retryAt;
        std::deque<std::variant<Forwarding, PeerMessage>> waiting;
        std::size_t waitingBytes = 0; ///< Approximate.
    };

    caf::result<StatementReply> handleForward(ForwardStatement &message);
    void forwardOn(const caf::actor &connection, Forwarding forwarding);
    void resend(Forwarding forwarding);
    void sendControl(SendPeerMessage message);
    void sendTo(const std::string &vm, PeerMessage message);
    void broadcast(const OwnerUpdate &update);
    Link *findLink(const std::string &vm);
    Link &addLink(const std::string &name);
    bool enqueue(Link &link, std::variant<Forwarding, PeerMessage> item, std::size_t bytes);
    bool connect(const std::string &name, Link &link);
    void handleConnected(ConnectOutcome &outcome);
    void handleReady(const PeerReady &ready);
    void flushWaiting(Link &link);
    void expireWaiting(const std::string &name);
    void withdrawForwards(const OwnerChanged &message);
    /// Answers the forwards that wait on \a link and are chosen by \a predicate with \a reply.
    template<class Predicate>
    void answerWaiting(Link &link, const StatementReply &reply, Predicate predicate);
    void failLink(Link &link, std::string_view reason);
    void handleDown(const caf::down_msg &message);
    void reportLost(const Link &link);
    void removeUnusedLinks();
    void handleMessage(PeerMessageReceived &received);
    void deliverConfiguration(const std::string &vm, ConfigurationMessage message);
    void deliverFeed(const std::string &vm, FeedMessage message);
    void setHandlers(const SetPeerHandlers &handlers);
    void updateMembers(const std::vector<Member> &members);
    void drain();
    void quitIfDrained();
    StateDump dumpState() const;

    std::shared_ptr<const PeerIdentity> identity_;
    std::shared_ptr<const Clock> clock_;
    SetPeerHandlers handlers_;
    UsePeerParts parts_;
    std::map<std::string, Member, std::less<>> members_;
    std::map<std::string, Link, std::less<>> links_;
    std::set<caf::actor> connections_; ///< All that are open, authenticated or not.
    std::size_t connectors_ = 0;
    std::mt19937_64 random_;
    bool draining_ = false;
    std::uint64_t forwards_ = 0;
    std::uint64_t droppedMessages_ = 0;
};

} // namespace shallotwalk
