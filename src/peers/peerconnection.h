#pragma once

#include "peers/connectionmessages.h"
#include "peers/messages.h"
#include "peers/peerhandshake.h"
#include "supervision/supervision.h"
#include "wire/peercodec.h"

#include <caf/io/broker.hpp>
#include <caf/typed_response_promise.hpp>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace shallotwalk {

/// What a new connection needs to know.
struct PeerConnectionOptions
{
    std::shared_ptr<const PeerIdentity> identity;
    std::shared_ptr<const Clock> clock;
    caf::actor peers;         ///< Gets PeerReady and PeerMessageReceived.
    SetPeerHandlers handlers; ///< Only \c statements is used.
    std::string expectedVm;   ///< Name that the peer must prove; empty for any.
    std::string link;         ///< Passed back in PeerReady.
};

/// State and behaviour of the broker that owns one connection to a peer. It authenticates the
/// peer, keeps the connection alive, answers ForwardStatement with the peer's reply, and has
/// forwarded statements run by the statements handler. Each accepted ForwardStatement is answered
/// exactly once: by the reply with its id, at its deadline, or when the connection is lost.
/// All methods run on the broker's own thread.
class PeerConnection
{
public:
    using Actor = caf::stateful_actor<PeerConnection, MailboxClosingBroker>;

    explicit PeerConnection(Actor *self);

    /// Begins the handshake on \a handle and returns the broker's behaviour.
    caf::behavior open(caf::io::connection_handle handle, PeerRole role,
                       PeerConnectionOptions options);

private:
    using Promise = caf::typed_response_promise<StatementReply>;

    /// A forwarded statement without a reply.
    struct PendingForward
    {
        Promise promise;
        bool readOnly = false;
        bool handedToSocket = false;
        TimePoint deadline;
    };

    /// A frame that the socket hasn't been given yet.
    struct QueuedFrame
    {
        std::string bytes;
        std::uint64_t forwardId = 0; ///< 0 for frames other than forwards.
    };

    caf::behavior makeBehavior();
    caf::result<StatementReply> forward(ForwardStatement &message);
    void receiveBytes(const std::vector<char> &bytes);
    bool handlePayload(std::string_view payload);
    bool handleHello(const Hello &hello);
    bool handleMessage(PeerMessage &&message);
    void handleReply(ForwardReply &reply);
    void runForward(Forward &forward);
    void sendReply(std::uint64_t requestId, bool readOnly, StatementReply reply);
    void finishForward(std::uint64_t requestId, bool readOnly, StatementReply reply);
    void sendControl(const PeerMessage &message);
    void queueFrame(std::string bytes, std::uint64_t forwardId);
    void writeFrames();
    void writeHello(const Hello &hello);
    void removeQueued(std::uint64_t forwardId);
    void handleTick();
    void expireForwards(TimePoint now);
    void scheduleTick(TimePoint due);
    TimePoint nextDue(TimePoint now) const;
    bool idleTooLong(TimePoint now) const;
    bool drained(TimePoint now) const;
    void close(std::string_view reason);
    void failPending();
    StateDump dumpState() const;
    std::size_t receiveLimit() const;

    Actor *self_;
    PeerConnectionOptions options_;
    PeerRole role_ = PeerRole::Acceptor;
    caf::io::connection_handle handle_;
    std::unique_ptr<PeerHandshake> handshake_;
    std::string input_;
    std::deque<QueuedFrame> output_;
    std::size_t outputBytes_ = 0; ///< In output_.
    std::size_t socketBytes_ = 0; ///< Handed to the scribe and not yet written.
    std::uint64_t lastRequestId_ = 0;
    std::unordered_map<std::uint64_t, PendingForward> pending_;
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
    std::size_t running_ = 0; ///< Statements of the peer that run here.
    TimePoint openedAt_;
    TimePoint lastReceived_;
    TimePoint lastSent_;
    TimePoint lastUse_;
    TimePoint lastForwardReceived_;
    TimePoint tickDue_;
    bool usedForWork_ = false;
    bool draining_ = false;
    bool closed_ = false;
    std::uint64_t lateReplies_ = 0;
    std::uint64_t droppedMessages_ = 0;
};

/// Behaviour of a connection that a listener has accepted, for broker::fork().
caf::behavior inboundPeerConnection(PeerConnection::Actor *self, caf::io::connection_handle handle,
                                    const PeerConnectionOptions &options);

/// Behaviour of a connection on the connected socket \a descriptor, for spawn_broker().
caf::behavior outboundPeerConnection(PeerConnection::Actor *self,
                                     const std::shared_ptr<SocketDescriptor> &descriptor,
                                     const PeerConnectionOptions &options);

/// Whether losing the request has no effect on data, so that it may be repeated.
bool isHarmless(const StatementRequest &request);

} // namespace shallotwalk
