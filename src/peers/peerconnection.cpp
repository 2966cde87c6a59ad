#include "peers/peerconnection.h"

#include "databases/messages.h"
#include "supervision/logvalue.h"

#include <spdlog/spdlog.h>

#include <sys/socket.h>

#include <algorithm>

namespace shallotwalk {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration heartbeatInterval = milliseconds(500);
/// Four missed heartbeats.
constexpr Duration silenceLimit = seconds(2);
constexpr Duration handshakeLimit = seconds(2);
/// Idle connections close. Those that carried only membership messages close early, because
/// membership contacts a random member every second and would connect all pairs of proxies.
constexpr Duration idleLimit = seconds(30);
constexpr Duration membershipIdleLimit = milliseconds(1500);
/// Time without a new forward after which a draining connection ends, so that frames on their way
/// are refused instead of lost.
constexpr Duration drainQuietTime = milliseconds(500);
/// Time for a handler to answer after the deadline before the request is given up.
constexpr Duration handlerGrace = seconds(1);
constexpr std::size_t readChunkBytes = 16UL * 1024;
/// A hello message has about 150 bytes; an unauthenticated peer gets no larger buffer.
constexpr std::size_t maxHelloBytes = 1024;
/// Bytes handed to the scribe at a time. What isn't handed over can still be withdrawn.
constexpr std::size_t socketWindowBytes = 64UL * 1024;
/// Bound of waiting frames; above it forwards are refused and control messages dropped.
constexpr std::size_t maxQueuedBytes = 8UL * 1024 * 1024;
/// Replies can't be refused; a peer that leaves this much unread is disconnected.
constexpr std::size_t maxQueuedReplyBytes = 16UL * 1024 * 1024;
constexpr std::size_t maxPendingForwards = 16'384;
constexpr std::size_t maxRunningForwards = 4'096;

/// Wakes a connection at its next due time.
struct ConnectionTick
{
};

StatementReply failureReply(ErrorCode code, Verdict verdict, std::string message)
{
    StatementReply reply;
    reply.outcome = Failure{code, verdict, std::move(message)};
    return reply;
}

/// A harmless request may be repeated, as if it had not run: it has no effect on the data.
Verdict verdictAfterLoss(bool readOnly)
{
    return readOnly ? Verdict::DidNotRun : Verdict::MayHaveRun;
}

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConnectionTick)

namespace shallotwalk {

bool isHarmless(const StatementRequest &request)
{
    return request.operation == Operation::Statement && request.access == Access::Read;
}

PeerConnection::PeerConnection(Actor *self)
    : self_(self)
{
}

caf::behavior PeerConnection::open(caf::io::connection_handle handle, PeerRole role,
                                   PeerConnectionOptions options)
{
    options_ = std::move(options);
    role_ = role;
    handle_ = handle;
    handshake_ =
        std::make_unique<PeerHandshake>(options_.identity, role, std::move(options_.expectedVm));
    openedAt_ = lastReceived_ = lastSent_ = lastUse_ = options_.clock->now();
    self_->configure_read(handle_, caf::io::receive_policy::at_most(readChunkBytes));
    self_->ack_writes(handle_, true);
    writeHello(handshake_->nonceMessage());
    scheduleTick(openedAt_ + heartbeatInterval);
    return makeBehavior();
}

caf::behavior PeerConnection::makeBehavior()
{
    self_->set_exit_handler([this](caf::exit_msg &message) {
        close("stopped");
        self_->quit(message.reason);
    });
    return {
        [this](const caf::io::new_data_msg &message) { receiveBytes(message.buf); },
        [this](const caf::io::data_transferred_msg &message) {
            socketBytes_ = message.remaining;
            writeFrames();
        },
        [this](const caf::io::connection_closed_msg &) { close("closed by the peer"); },
        [this](ForwardStatement &message) { return forward(message); },
        [this](const WritePeerMessage &message) { sendControl(message.message); },
        [this](const SetPeerHandlers &handlers) { options_.handlers = handlers; },
        [this](ConnectionTick) { handleTick(); },
        [this](DrainRequest) { draining_ = true; },
        [this](StateDumpRequest) { return dumpState(); },
    };
}

caf::result<StatementReply> PeerConnection::forward(ForwardStatement &message)
{
    const auto now = options_.clock->now();
    const auto &request = message.request;
    if (closed_ || draining_)
        return failureReply(ErrorCode::Draining, Verdict::DidNotRun, "peer connection is closing");
    if (request.deadline <= now)
        return failureReply(ErrorCode::DeadlineExceeded, Verdict::DidNotRun,
                            "deadline passed before the request was forwarded");
    if (pending_.size() >= maxPendingForwards)
        return failureReply(ErrorCode::QueueFull, Verdict::DidNotRun,
                            "too many requests wait for the peer");
    const bool readOnly = isHarmless(request);
    const auto deadline = request.deadline;
    const auto id = ++lastRequestId_;
    auto frame = encodePeerFrame(Forward{id, std::move(message.request)}, now);
    if (!frame)
        return failureReply(ErrorCode::BadRequest, Verdict::DidNotRun,
                            "request is too large to be forwarded");
    if (outputBytes_ + frame->size() > maxQueuedBytes)
        return failureReply(ErrorCode::QueueFull, Verdict::DidNotRun,
                            "write buffer to the peer is full");
    auto promise = self_->make_response_promise<StatementReply>();
    pending_.emplace(id, PendingForward{promise, readOnly, false, deadline});
    deadlines_.emplace(deadline, id);
    usedForWork_ = true;
    lastUse_ = now;
    queueFrame(std::move(*frame), id);
    scheduleTick(deadline);
    return promise;
}

std::size_t PeerConnection::receiveLimit() const
{
    return handshake_->authenticated() ? maxPeerFrameBytes : maxHelloBytes;
}

void PeerConnection::receiveBytes(const std::vector<char> &bytes)
{
    if (closed_)
        return;
    lastReceived_ = options_.clock->now();
    input_.append(bytes.data(), bytes.size());
    std::size_t consumed = 0;
    while (!closed_) {
        const auto frame = findPeerFrame(std::string_view(input_).substr(consumed), receiveLimit());
        if (!frame) {
            close("frame exceeds its size limit");
            return;
        }
        if (!frame->has_value())
            break;
        consumed += peerFrameHeaderBytes + (*frame)->size();
        if (!handlePayload(**frame))
            return;
    }
    input_.erase(0, consumed);
    if (input_.empty() && input_.capacity() > 4 * readChunkBytes)
        input_ = std::string(); // Returns the memory of a long frame.
}

bool PeerConnection::handlePayload(std::string_view payload)
{
    auto message = decodePeerPayload(std::as_bytes(std::span(payload)), lastReceived_);
    if (!message) {
        close("malformed message");
        return false;
    }
    if (const auto *hello = std::get_if<Hello>(&*message))
        return handleHello(*hello);
    if (!handshake_->authenticated()) {
        close("message before the handshake");
        return false;
    }
    return handleMessage(std::move(*message));
}

bool PeerConnection::handleHello(const Hello &hello)
{
    switch (handshake_->receive(hello)) {
    case HandshakeStep::SendProof:
        writeHello(handshake_->proofMessage());
        return true;
    case HandshakeStep::Authenticated:
        self_->send(options_.peers, PeerReady{handshake_->peerVm(), options_.link, self_});
        writeFrames();
        return true;
    case HandshakeStep::Failed:
        break;
    }
    close(handshake_->reason());
    return false;
}

bool PeerConnection::handleMessage(PeerMessage &&message)
{
    if (std::holds_alternative<Heartbeat>(message))
        return true;
    lastUse_ = lastReceived_;
    if (auto *forward = std::get_if<Forward>(&message))
        runForward(*forward);
    else if (auto *reply = std::get_if<ForwardReply>(&message))
        handleReply(*reply);
    else {
        usedForWork_ = usedForWork_ || !std::holds_alternative<MembershipMessage>(message);
        self_->send(options_.peers, PeerMessageReceived{handshake_->peerVm(), std::move(message)});
    }
    return !closed_;
}

void PeerConnection::handleReply(ForwardReply &reply)
{
    const auto found = pending_.find(reply.requestId);
    if (found == pending_.end()) {
        ++lateReplies_;
        return;
    }
    deadlines_.erase({found->second.deadline, reply.requestId});
    auto promise = std::move(found->second.promise);
    pending_.erase(found);
    promise.deliver(std::move(reply.reply));
}

void PeerConnection::runForward(Forward &forward)
{
    usedForWork_ = true;
    lastForwardReceived_ = lastReceived_;
    const auto id = forward.requestId;
    const bool readOnly = isHarmless(forward.request);
    if (draining_ || !options_.handlers.statements) {
        sendReply(id, readOnly,
                  failureReply(ErrorCode::Draining, Verdict::DidNotRun,
                               "peer accepts no forwarded statements"));
        return;
    }
    if (running_ >= maxRunningForwards) {
        sendReply(
            id, readOnly,
            failureReply(ErrorCode::QueueFull, Verdict::DidNotRun, "peer runs too many requests"));
        return;
    }
    ++running_;
    const auto timeout = forward.request.deadline - lastReceived_ + handlerGrace;
    self_
        ->request(options_.handlers.statements, timeout,
                  ExecuteStatement{std::move(forward.request)})
        .then([this, id,
               readOnly](StatementReply &reply) { finishForward(id, readOnly, std::move(reply)); },
              [this, id, readOnly](const caf::error &error) {
                  // A request in the mailbox of an actor that has ended was never processed.
                  const bool unprocessed = error == caf::sec::request_receiver_down;
                  finishForward(id, readOnly,
                                unprocessed
                                    ? failureReply(ErrorCode::NotOwner, Verdict::DidNotRun,
                                                   "the owner of the database has ended")
                                    : failureReply(ErrorCode::Internal, verdictAfterLoss(readOnly),
                                                   "statement handler failed"));
              });
}

void PeerConnection::finishForward(std::uint64_t requestId, bool readOnly, StatementReply reply)
{
    --running_;
    sendReply(requestId, readOnly, std::move(reply));
}

void PeerConnection::sendReply(std::uint64_t requestId, bool readOnly, StatementReply reply)
{
    if (closed_)
        return;
    const auto now = options_.clock->now();
    lastUse_ = now;
    auto frame = encodePeerFrame(ForwardReply{requestId, std::move(reply)}, now);
    if (!frame) {
        const auto verdict = readOnly ? Verdict::DidNotRun : Verdict::Ran;
        frame = encodePeerFrame(
            ForwardReply{requestId, failureReply(ErrorCode::StatementError, verdict,
                                                 "result is too large to be forwarded")},
            now);
    }
    if (outputBytes_ + frame->size() > maxQueuedReplyBytes) {
        close("peer doesn't read its replies");
        return;
    }
    queueFrame(std::move(*frame), 0);
}

void PeerConnection::sendControl(const PeerMessage &message)
{
    const auto now = options_.clock->now();
    auto frame = encodePeerFrame(message, now);
    if (closed_ || !frame || outputBytes_ + frame->size() > maxQueuedBytes) {
        ++droppedMessages_;
        return;
    }
    lastUse_ = now;
    usedForWork_ = usedForWork_ || !std::holds_alternative<MembershipMessage>(message);
    queueFrame(std::move(*frame), 0);
}

void PeerConnection::queueFrame(std::string bytes, std::uint64_t forwardId)
{
    outputBytes_ += bytes.size();
    output_.push_back({std::move(bytes), forwardId});
    writeFrames();
}

void PeerConnection::writeFrames()
{
    if (closed_ || !handshake_->authenticated() || output_.empty()
        || socketBytes_ >= socketWindowBytes)
        return;
    while (!output_.empty() && socketBytes_ < socketWindowBytes) {
        const auto &frame = output_.front();
        const auto pending = pending_.find(frame.forwardId);
        if (pending != pending_.end())
            pending->second.handedToSocket = true;
        self_->write(handle_, frame.bytes.size(), frame.bytes.data());
        socketBytes_ += frame.bytes.size();
        outputBytes_ -= frame.bytes.size();
        output_.pop_front();
    }
    lastSent_ = options_.clock->now();
    self_->flush(handle_);
}

void PeerConnection::writeHello(const Hello &hello)
{
    const auto frame = encodePeerFrame(hello, lastReceived_);
    if (!frame)
        throw std::runtime_error("hello message is too large");
    self_->write(handle_, frame->size(), frame->data());
    socketBytes_ += frame->size();
    self_->flush(handle_);
}

void PeerConnection::removeQueued(std::uint64_t forwardId)
{
    const auto found = std::find_if(output_.begin(), output_.end(), [&](const auto &frame) {
        return frame.forwardId == forwardId;
    });
    if (found == output_.end())
        return;
    outputBytes_ -= found->bytes.size();
    output_.erase(found);
}

void PeerConnection::handleTick()
{
    if (closed_)
        return;
    const auto now = options_.clock->now();
    expireForwards(now);
    if (now - lastReceived_ >= silenceLimit)
        return close("peer is silent");
    if (!handshake_->authenticated()) {
        if (now - openedAt_ >= handshakeLimit)
            return close("handshake timed out");
    } else if (drained(now) || idleTooLong(now)) {
        return close(draining_ ? "drained" : "idle");
    } else if (now - lastSent_ >= heartbeatInterval && output_.empty() && socketBytes_ == 0) {
        queueFrame(encodePeerFrame(Heartbeat{}, now).value(), 0);
    }
    if (now >= tickDue_)
        scheduleTick(nextDue(now));
}

void PeerConnection::expireForwards(TimePoint now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = pending_.find(id);
        auto pending = std::move(found->second);
        pending_.erase(found);
        if (!pending.handedToSocket)
            removeQueued(id);
        const auto verdict =
            pending.handedToSocket ? verdictAfterLoss(pending.readOnly) : Verdict::DidNotRun;
        pending.promise.deliver(failureReply(ErrorCode::DeadlineExceeded, verdict,
                                             "no reply from the peer within the deadline"));
    }
}

TimePoint PeerConnection::nextDue(TimePoint now) const
{
    auto due = std::max(lastSent_ + heartbeatInterval, now + milliseconds(50));
    due = std::min(due, now + heartbeatInterval);
    if (!deadlines_.empty())
        due = std::min(due, deadlines_.begin()->first);
    return due;
}

void PeerConnection::scheduleTick(TimePoint due)
{
    const auto now = options_.clock->now();
    if (tickDue_ > now && tickDue_ <= due)
        return;
    tickDue_ = due;
    self_->delayed_send(self_, std::max(due - now, Duration(0)), ConnectionTick{});
}

bool PeerConnection::idleTooLong(TimePoint now) const
{
    return role_ == PeerRole::Initiator && pending_.empty() && running_ == 0 && output_.empty()
           && now - lastUse_ >= (usedForWork_ ? idleLimit : membershipIdleLimit);
}

bool PeerConnection::drained(TimePoint now) const
{
    return draining_ && pending_.empty() && running_ == 0 && output_.empty() && socketBytes_ == 0
           && now - lastForwardReceived_ >= drainQuietTime;
}

void PeerConnection::close(std::string_view reason)
{
    if (closed_)
        return;
    closed_ = true;
    spdlog::debug("event=peer_connection_closed peer={} link={} reason={}",
                  logValue(handshake_->peerVm()), logValue(options_.link), logValue(reason));
    // Shuts the socket down at once: the scribe alone would still send what it holds, after the
    // requests were answered, and would wait for an unresponsive peer to close its side. In CAF
    // the handle's id is the descriptor, which stays open while the broker owns the scribe.
    if (self_->valid(handle_))
        ::shutdown(static_cast<int>(handle_.id()), SHUT_RDWR);
    failPending();
    output_.clear();
    self_->quit();
}

void PeerConnection::failPending()
{
    for (auto &[id, pending] : pending_) {
        const auto verdict =
            pending.handedToSocket ? verdictAfterLoss(pending.readOnly) : Verdict::DidNotRun;
        pending.promise.deliver(
            failureReply(ErrorCode::PeerUnreachable, verdict, "connection to the peer was lost"));
    }
    pending_.clear();
    deadlines_.clear();
}

StateDump PeerConnection::dumpState() const
{
    boost::json::object state;
    state["peer"] = handshake_->peerVm();
    state["outbound"] = role_ == PeerRole::Initiator;
    state["authenticated"] = handshake_->authenticated();
    state["pendingForwards"] = pending_.size();
    state["runningForwards"] = running_;
    state["queuedBytes"] = outputBytes_;
    state["lateReplies"] = lateReplies_;
    state["droppedMessages"] = droppedMessages_;
    return StateDump{std::move(state)};
}

caf::behavior inboundPeerConnection(PeerConnection::Actor *self, caf::io::connection_handle handle,
                                    const PeerConnectionOptions &options)
{
    return self->state.open(handle, PeerRole::Acceptor, options);
}

caf::behavior outboundPeerConnection(PeerConnection::Actor *self,
                                     const std::shared_ptr<SocketDescriptor> &descriptor,
                                     const PeerConnectionOptions &options)
{
    const auto handle = self->add_scribe(descriptor->release());
    return self->state.open(handle, PeerRole::Initiator, options);
}

} // namespace shallotwalk
