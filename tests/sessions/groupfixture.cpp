#include "sessions/groupfixture.h"

#include <algorithm>

namespace shallotwalk {

namespace {

GroupSchedulerSettings settings()
{
    GroupSchedulerSettings settings;
    settings.service = "bookings";
    settings.makePolicy = [] { return std::make_unique<FairSharePolicy>(); };
    return settings;
}

} // namespace

GroupFixture::GroupFixture()
    : scheduler(settings(), port)
{
    ConnectionAllotment allotment;
    allotment.share = 3;
    scheduler.setConnections(allotment, now);
    const std::vector<ServerRegistration> servers{registration("p", true), registration("r1"),
                                                  registration("r2")};
    scheduler.setServers(servers, now);
    connectAll();
}

ServerRegistration GroupFixture::registration(const std::string &id, bool primary) const
{
    ServerRegistration server;
    server.id = id;
    server.service = "bookings";
    server.host = "10.0.0." + std::to_string(id.back());
    server.port = 5000;
    server.dataCentre = "nord";
    server.slots = 2;
    server.primary = primary;
    return server;
}

void GroupFixture::connectAll(Position position)
{
    while (opened_ < port.opened.size())
        scheduler.replied(port.opened[opened_++], successReply(TransactionState::None, position),
                          now);
}

std::vector<FakePort::Sent> GroupFixture::takeSent(const std::string &server)
{
    std::vector<FakePort::Sent> taken;
    std::erase_if(port.sent, [&](const FakePort::Sent &sent) {
        const bool matches = port.serverOf.at(sent.key) == server;
        if (matches)
            taken.push_back(sent);
        return matches;
    });
    return taken;
}

std::vector<CommandKind> GroupFixture::kinds(const std::string &server) const
{
    std::vector<CommandKind> kinds;
    for (const auto &sent : port.sent) {
        if (port.serverOf.at(sent.key) != server)
            continue;
        for (const auto &command : sent.commands)
            kinds.push_back(command.kind);
    }
    return kinds;
}

void GroupFixture::serve(const std::string &server, Position position, bool primary)
{
    for (auto sent = takeSent(server); !sent.empty(); sent = takeSent(server)) {
        for (const auto &[key, commands] : sent) {
            auto &state = states_[key];
            for (const auto &command : commands) {
                switch (command.kind) {
                case CommandKind::Begin:
                case CommandKind::BeginReadOnly:
                    state = TransactionState::Open;
                    reply(key, successReply(state, position));
                    break;
                case CommandKind::Status:
                    reply(key, report(primary, position.term, position, paused[server]));
                    break;
                case CommandKind::Demote: // The primary of the fixture stays primary.
                    reply(key, report(primary, position.term, position));
                    break;
                case CommandKind::Pause:
                case CommandKind::Resume:
                    paused[server] = command.term;
                    reply(key, report(primary, position.term, position, command.term));
                    break;
                case CommandKind::Read:
                case CommandKind::Write:
                case CommandKind::Execute:
                    reply(key, signedReply(state, position));
                    break;
                case CommandKind::Commit:
                    state = TransactionState::None;
                    reply(key, signedReply(TransactionState::None, position));
                    break;
                case CommandKind::Rollback:
                    state = TransactionState::None;
                    reply(key, successReply(state, position));
                    break;
                default:
                    reply(key, successReply(state, position));
                    break;
                }
            }
        }
    }
}

void GroupFixture::reply(ServerConnectionKey key, ServerReply reply)
{
    scheduler.replied(key, std::move(reply), now);
}

ServerReply GroupFixture::successReply(TransactionState state, Position position)
{
    ServerReply reply;
    reply.state = state;
    reply.position = position;
    return reply;
}

ServerReply GroupFixture::signedReply(TransactionState state, Position position)
{
    auto reply = successReply(state, position);
    reply.rows = {"row"};
    reply.signature = "signature";
    return reply;
}

ServerReply GroupFixture::error(AnswerCode code, TransactionState state)
{
    auto reply = successReply(state);
    reply.error = code;
    return reply;
}

ServerReply GroupFixture::report(bool primary, Term term, Position received, Term pausedUntilTerm)
{
    auto reply = successReply(TransactionState::None, received);
    reply.report = ServerReport{primary, term, received, pausedUntilTerm};
    return reply;
}

void GroupFixture::wait(Duration duration)
{
    const auto end = now + duration;
    while (now < end) {
        now += std::min<Duration>(10ms, end - now);
        scheduler.tick(now);
    }
}

void GroupFixture::waitAndServe(Duration duration, Position position)
{
    const auto end = now + duration;
    while (now < end) {
        wait(std::min<Duration>(10ms, end - now));
        for (const std::string server : {"p", "r1", "r2"})
            serve(server, position, server == "p");
    }
}

GroupRequest GroupFixture::request(RequestNumber number, StatementKind kind, Duration maxStaleness)
{
    GroupRequest request;
    request.number = number;
    request.session = number;
    request.statement.id = "id" + std::to_string(number);
    request.statement.kind = kind;
    request.statement.text = "item";
    request.readOnly = kind == StatementKind::Read;
    request.values = std::make_shared<SessionValues>();
    request.route = "route";
    request.maxStaleness = maxStaleness;
    request.startedAt = now;
    request.receivedAt = now;
    request.deadline = now + 800ms;
    request.goal = 300ms;
    return request;
}

void GroupFixture::sampleWatermark(Position position)
{
    wait(450ms);
    serve("p", position, true);
    serve("r1", position);
    serve("r2", position);
}

} // namespace shallotwalk
