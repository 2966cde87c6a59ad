#include "peers/peersactor.h"

#include "databases/messages.h"
#include "peers/peerconnection.h"
#include "peers/peerconnector.h"
#include "supervision/logvalue.h"

#include <caf/io/middleman.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace shallotwalk {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration firstRetryDelay = milliseconds(100);
constexpr Duration longestRetryDelay = seconds(5);
/// Attempts that may wait at the same time; each has a thread.
constexpr std::size_t maxConnectors = 32;
/// Bounds of what waits for a connection to one peer.
constexpr std::size_t maxWaiting = 1024;
constexpr std::size_t maxWaitingBytes = 4UL * 1024 * 1024;
/// Bound of remembered links; unused ones are forgotten above it.
constexpr std::size_t maxLinks = 512;
/// The connection answers at the deadline; this is the time for its answer to arrive.
constexpr Duration answerGrace = milliseconds(500);

/// Answers the forwards that wait for a connection to a peer beyond their deadline.
struct ExpireWaiting
{
    std::string link;
};

StatementReply unreachable(Verdict verdict, std::string_view reason)
{
    StatementReply reply;
    reply.outcome = Failure{ErrorCode::PeerUnreachable, verdict, std::string(reason)};
    return reply;
}

std::size_t approximateBytes(const StatementRequest &request)
{
    std::size_t bytes = sizeof(StatementRequest) + request.sql.size();
    for (const auto &parameter : request.parameters)
        bytes += sizeof(parameter) + (parameter ? parameter->size() : 0);
    return bytes;
}

std::size_t approximateBytes(const FeedPage &page)
{
    std::size_t bytes = 0;
    for (const auto &change : page.changes)
        bytes += sizeof(change) + change.entry.key.size() + change.entry.value.size();
    return bytes;
}

std::size_t approximateBytes(const PeerMessage &message)
{
    std::size_t bytes = sizeof(PeerMessage);
    if (const auto *head = std::get_if<Head>(&message))
        bytes += head->content.size();
    else if (const auto *part = std::get_if<Part>(&message))
        bytes += part->content.size();
    else if (const auto *membership = std::get_if<MembershipMessage>(&message))
        bytes += membership->updates.size() * sizeof(MemberUpdate);
    else if (const auto *reply = std::get_if<FeedReply>(&message))
        bytes += approximateBytes(reply->records) + approximateBytes(reply->vms);
    return bytes;
}

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ExpireWaiting)

namespace shallotwalk {

PeersActor::PeersActor(caf::actor_config &config, std::shared_ptr<const PeerIdentity> identity,
                       std::shared_ptr<const Clock> clock)
    : caf::event_based_actor(config)
    , identity_(std::move(identity))
    , clock_(std::move(clock))
    , random_(std::hash<std::string>{}(identity_->vm))
{
    set_down_handler([this](caf::down_msg &message) { handleDown(message); });
    set_exit_handler([this](caf::exit_msg &message) {
        for (const auto &connection : connections_)
            send_exit(connection, message.reason);
        quit(message.reason);
    });
}

caf::behavior PeersActor::make_behavior()
{
    return {
        [this](ForwardStatement &message) { return handleForward(message); },
        [this](SendPromiseRequest &message) { sendTo(message.vm, std::move(message.request)); },
        [this](SendPromiseReply &message) { sendTo(message.vm, std::move(message.reply)); },
        [this](SendConfigurationMessage &message) {
            std::visit([&](auto &content) { sendTo(message.vm, std::move(content)); },
                       message.message);
        },
        [this](SendFeedMessage &message) {
            std::visit([&](auto &content) { sendTo(message.vm, std::move(content)); },
                       message.message);
        },
        [this](const OwnerUpdate &update) { broadcast(update); },
        [this](SendPeerMessage &message) { sendControl(std::move(message)); },
        [this](PeerMessageReceived &message) { handleMessage(message); },
        [this](ConnectOutcome &outcome) { handleConnected(outcome); },
        [this](const PeerReady &ready) { handleReady(ready); },
        [this](const OwnerChanged &message) { withdrawForwards(message); },
        [this](const ExpireWaiting &message) { expireWaiting(message.link); },
        [this](const SetPeerHandlers &handlers) { setHandlers(handlers); },
        [this](const MembersChanged &message) { updateMembers(message.members); },
        [this](const UsePeerParts &parts) {
            parts_ = parts;
            if (parts_.listener)
                send(parts_.listener, handlers_);
            if (parts_.membership)
                send(parts_.membership, SubscribeMembers{this});
        },
        [this](DrainRequest) { drain(); },
        [this](StateDumpRequest) { return dumpState(); },
    };
}

void PeersActor::on_exit()
{
    links_.clear();
    connections_.clear();
    handlers_ = {};
    parts_ = {};
}

caf::result<StatementReply> PeersActor::handleForward(ForwardStatement &message)
{
    if (draining_)
        return unreachable(Verdict::DidNotRun, "this proxy is draining");
    ++forwards_;
    auto promise = make_response_promise<StatementReply>();
    resend({std::move(message), promise});
    return promise;
}

void PeersActor::resend(Forwarding forwarding)
{
    const auto vm = forwarding.message.vm;
    auto *link = findLink(vm);
    if (link == nullptr) {
        forwarding.promise.deliver(unreachable(Verdict::DidNotRun, "unknown peer"));
        return;
    }
    if (link->outbound)
        return forwardOn(link->outbound, std::move(forwarding));
    auto promise = forwarding.promise;
    const auto bytes = approximateBytes(forwarding.message.request);
    const auto left = forwarding.message.request.deadline - clock_->now();
    if (!connect(vm, *link) || !enqueue(*link, std::move(forwarding), bytes))
        promise.deliver(unreachable(Verdict::DidNotRun, "no connection to the peer"));
    else
        delayed_send(this, std::max(left, Duration(0)), ExpireWaiting{vm});
}

void PeersActor::forwardOn(const caf::actor &connection, Forwarding forwarding)
{
    const auto left = forwarding.message.request.deadline - clock_->now() + answerGrace;
    const bool readOnly = isHarmless(forwarding.message.request);
    auto promise = forwarding.promise;
    request(connection, std::max(left, answerGrace), std::move(forwarding.message))
        .then([promise](StatementReply &reply) mutable { promise.deliver(std::move(reply)); },
              [promise, readOnly](const caf::error &error) mutable {
                  // A request that reaches an ended connection was never processed by it.
                  const bool unprocessed = error == caf::sec::request_receiver_down;
                  promise.deliver(unreachable(unprocessed || readOnly ? Verdict::DidNotRun
                                                                      : Verdict::MayHaveRun,
                                              "connection to the peer ended"));
              });
}

void PeersActor::sendTo(const std::string &vm, PeerMessage message)
{
    sendControl({vm, {}, 0, std::move(message)});
}

void PeersActor::sendControl(SendPeerMessage message)
{
    const auto name =
        message.vm.empty() ? message.host + ":" + std::to_string(message.port) : message.vm;
    if (draining_ || message.vm == identity_->vm)
        return;
    auto *link = findLink(name);
    if (!message.host.empty()) {
        link = link != nullptr ? link : &addLink(name);
        link->vm = message.vm;
        link->host = message.host;
        link->port = message.port;
    }
    if (link == nullptr) {
        ++droppedMessages_;
        return;
    }
    const auto &connection = link->outbound ? link->outbound : link->inbound;
    if (connection) {
        send(connection, WritePeerMessage{std::move(message.message)});
        return;
    }
    const auto bytes = approximateBytes(message.message);
    if (!connect(name, *link) || !enqueue(*link, std::move(message.message), bytes))
        ++droppedMessages_;
}

void PeersActor::broadcast(const OwnerUpdate &update)
{
    for (const auto &[name, link] : links_) {
        const auto &connection = link.outbound ? link.outbound : link.inbound;
        if (connection)
            send(connection, WritePeerMessage{update});
    }
}

PeersActor::Link *PeersActor::findLink(const std::string &vm)
{
    const auto found = links_.find(vm);
    const auto member = members_.find(vm);
    if (member == members_.end())
        return found == links_.end() ? nullptr : &found->second;
    auto &link = found == links_.end() ? addLink(vm) : found->second;
    link.vm = vm;
    link.host = member->second.host;
    link.port = member->second.port;
    return &link;
}

PeersActor::Link &PeersActor::addLink(const std::string &name)
{
    if (links_.size() >= maxLinks)
        removeUnusedLinks();
    return links_[name];
}

void PeersActor::removeUnusedLinks()
{
    const auto now = clock_->now();
    std::erase_if(links_, [&](const auto &entry) {
        const auto &link = entry.second;
        return !link.outbound && !link.inbound && !link.opening && !link.connecting
               && link.retryAt <= now;
    });
}

bool PeersActor::enqueue(Link &link, std::variant<Forwarding, PeerMessage> item, std::size_t bytes)
{
    if (link.waiting.size() >= maxWaiting || link.waitingBytes + bytes > maxWaitingBytes)
        return false;
    link.waiting.push_back(std::move(item));
    link.waitingBytes += bytes;
    return true;
}

bool PeersActor::connect(const std::string &name, Link &link)
{
    if (link.connecting || link.opening)
        return true;
    if (link.host.empty() || clock_->now() < link.retryAt || connectors_ >= maxConnectors)
        return false;
    link.connecting = true;
    ++connectors_;
    system().spawn<PeerConnector, caf::detached>(name, link.host, link.port,
                                                 caf::actor_cast<caf::actor>(this));
    return true;
}

void PeersActor::handleConnected(ConnectOutcome &outcome)
{
    --connectors_;
    const auto found = links_.find(outcome.link);
    if (found == links_.end())
        return quitIfDrained();
    auto &link = found->second;
    link.connecting = false;
    if (!outcome.descriptor || draining_) {
        failLink(link, outcome.error);
        return quitIfDrained();
    }
    PeerConnectionOptions options{identity_, clock_, this, handlers_, link.vm, outcome.link};
    link.opening = system().middleman().spawn_broker(
        outboundPeerConnection, std::move(outcome.descriptor), std::move(options));
    connections_.insert(link.opening);
    monitor(link.opening);
}

void PeersActor::handleReady(const PeerReady &ready)
{
    if (ready.link.empty()) {
        if (connections_.insert(ready.connection).second)
            monitor(ready.connection);
        send(ready.connection, handlers_);
        auto &link = addLink(ready.vm);
        link.inbound = ready.connection;
        if (draining_)
            send(ready.connection, DrainRequest{});
        return;
    }
    const auto found = links_.find(ready.link);
    if (found == links_.end() || found->second.opening != ready.connection)
        return;
    auto &link = found->second;
    link.outbound = std::move(link.opening);
    link.opening = nullptr;
    link.failures = 0;
    flushWaiting(link);
}

void PeersActor::flushWaiting(Link &link)
{
    auto waiting = std::exchange(link.waiting, {});
    link.waitingBytes = 0;
    for (auto &item : waiting) {
        if (auto *forwarding = std::get_if<Forwarding>(&item))
            forwardOn(link.outbound, std::move(*forwarding));
        else
            send(link.outbound, WritePeerMessage{std::move(std::get<PeerMessage>(item))});
    }
}

void PeersActor::expireWaiting(const std::string &name)
{
    const auto found = links_.find(name);
    if (found == links_.end())
        return;
    answerWaiting(found->second,
                  unreachable(Verdict::DidNotRun, "no connection to the peer within the deadline"),
                  [now = clock_->now()](const auto &request) { return request.deadline <= now; });
}

void PeersActor::withdrawForwards(const OwnerChanged &message)
{
    StatementReply reply;
    reply.outcome =
        Failure{ErrorCode::NotOwner, Verdict::DidNotRun, "the database has a new owner"};
    reply.ownerHint = message.owner;
    for (auto &[name, link] : links_) {
        if (link.vm != message.owner)
            answerWaiting(link, reply, [&message](const auto &request) {
                return !request.transaction && request.pool == message.database;
            });
    }
}

template<class Predicate>
void PeersActor::answerWaiting(Link &link, const StatementReply &reply, Predicate predicate)
{
    std::erase_if(link.waiting, [&](auto &item) {
        auto *forwarding = std::get_if<Forwarding>(&item);
        if (forwarding == nullptr || !predicate(forwarding->message.request))
            return false;
        link.waitingBytes -= approximateBytes(forwarding->message.request);
        forwarding->promise.deliver(reply);
        return true;
    });
}

void PeersActor::failLink(Link &link, std::string_view reason)
{
    const auto exponent = std::min<std::size_t>(link.failures++, 6);
    const auto delay = std::min(longestRetryDelay, firstRetryDelay * (1 << exponent));
    // Half of the delay is random, so that proxies don't reconnect to a returning peer at once.
    std::uniform_int_distribution<Duration::rep> jitter(delay.count() / 2, delay.count());
    link.retryAt = clock_->now() + Duration(jitter(random_));
    link.waitingBytes = 0;
    reportLost(link);
    for (auto &item : std::exchange(link.waiting, {})) {
        if (auto *forwarding = std::get_if<Forwarding>(&item))
            forwarding->promise.deliver(unreachable(
                Verdict::DidNotRun, "no connection to the peer: " + std::string(reason)));
        else
            ++droppedMessages_;
    }
}

void PeersActor::reportLost(const Link &link)
{
    if (handlers_.feed && !link.vm.empty())
        send(handlers_.feed, PeerConnectionLost{link.vm});
}

void PeersActor::handleDown(const caf::down_msg &message)
{
    std::erase_if(connections_,
                  [&](const auto &connection) { return connection.address() == message.source; });
    for (auto &[name, link] : links_) {
        for (auto *connection : {&link.inbound, &link.outbound}) {
            if (*connection && connection->address() == message.source) {
                *connection = nullptr;
                reportLost(link);
            }
        }
        if (link.opening && link.opening.address() == message.source) {
            link.opening = nullptr;
            spdlog::warn("event=peer_handshake_failed peer={} address={}:{}", logValue(name),
                         link.host, link.port);
            failLink(link, "handshake failed");
        }
    }
    quitIfDrained();
}

void PeersActor::handleMessage(PeerMessageReceived &received)
{
    auto &message = received.message;
    if (std::holds_alternative<MembershipMessage>(message)) {
        if (parts_.membership)
            send(parts_.membership, std::move(received));
    } else if (auto *request = std::get_if<PromiseRequest>(&message)) {
        if (handlers_.promises)
            send(handlers_.promises, PromiseRequestReceived{received.vm, std::move(*request)});
    } else if (auto *reply = std::get_if<PromiseReply>(&message)) {
        reply->candidate = received.vm; // The handshake proves the name.
        if (handlers_.promises)
            send(handlers_.promises, std::move(*reply));
    } else if (auto *update = std::get_if<OwnerUpdate>(&message)) {
        if (handlers_.owners)
            send(handlers_.owners, std::move(*update));
    } else if (auto *feedRequest = std::get_if<FeedRequest>(&message)) {
        deliverFeed(received.vm, *feedRequest);
    } else if (auto *feedReply = std::get_if<FeedReply>(&message)) {
        deliverFeed(received.vm, std::move(*feedReply));
    } else if (std::holds_alternative<HeadRequest>(message)) {
        deliverConfiguration(received.vm, HeadRequest{});
    } else if (auto *head = std::get_if<Head>(&message)) {
        deliverConfiguration(received.vm, std::move(*head));
    } else if (auto *partRequest = std::get_if<PartRequest>(&message)) {
        deliverConfiguration(received.vm, std::move(*partRequest));
    } else if (auto *part = std::get_if<Part>(&message)) {
        deliverConfiguration(received.vm, std::move(*part));
    }
}

void PeersActor::deliverConfiguration(const std::string &vm, ConfigurationMessage message)
{
    if (handlers_.configuration)
        send(handlers_.configuration, ConfigurationMessageReceived{vm, std::move(message)});
}

void PeersActor::deliverFeed(const std::string &vm, FeedMessage message)
{
    if (handlers_.feed)
        send(handlers_.feed, FeedMessageReceived{vm, std::move(message)});
}

void PeersActor::setHandlers(const SetPeerHandlers &handlers)
{
    handlers_ = handlers;
    for (const auto &connection : connections_)
        send(connection, handlers_);
    if (parts_.listener)
        send(parts_.listener, handlers_);
    if (parts_.membership)
        send(parts_.membership, handlers_);
}

void PeersActor::updateMembers(const std::vector<Member> &members)
{
    members_.clear();
    for (const auto &member : members) {
        if (member.alive && member.vm != identity_->vm)
            members_.emplace(member.vm, member);
    }
}

void PeersActor::drain()
{
    draining_ = true;
    for (const auto &connection : connections_)
        send(connection, DrainRequest{});
    for (auto &[name, link] : links_)
        failLink(link, "draining");
    quitIfDrained();
}

void PeersActor::quitIfDrained()
{
    if (draining_ && connections_.empty() && connectors_ == 0)
        quit();
}

StateDump PeersActor::dumpState() const
{
    boost::json::object links;
    for (const auto &[name, link] : links_) {
        boost::json::object entry;
        entry["outbound"] = static_cast<bool>(link.outbound);
        entry["inbound"] = static_cast<bool>(link.inbound);
        entry["waiting"] = link.waiting.size();
        entry["failures"] = link.failures;
        links[name] = std::move(entry);
    }
    boost::json::object state;
    state["vm"] = identity_->vm;
    state["members"] = members_.size();
    state["connections"] = connections_.size();
    state["forwards"] = forwards_;
    state["droppedMessages"] = droppedMessages_;
    state["links"] = std::move(links);
    return StateDump{std::move(state)};
}

} // namespace shallotwalk
