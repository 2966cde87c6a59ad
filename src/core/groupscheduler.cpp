#include "core/groupscheduler.h"

#include <algorithm>
#include <array>

namespace shallotwalk {

namespace {

/// Reads that replicas could serve leave room on the primary for work that only it can do.
constexpr double primaryCostFactor = 1.25;

/// Bound of each server's queue, for routes without one of their own.
constexpr std::uint32_t queueLimit = 64;

constexpr Duration shortestTick = std::chrono::milliseconds(5);
constexpr Duration longestTick = std::chrono::milliseconds(100);

/// A longer interval between ticks means that this process was suspended.
constexpr Duration suspensionLimit = std::chrono::milliseconds(500);

/// Watermarks older than the staleness that any route is likely to allow.
constexpr Duration watermarkRetention = std::chrono::seconds(15);

} // namespace

GroupScheduler::GroupScheduler(GroupSchedulerSettings settings, GroupPort &port)
    : settings_(std::move(settings))
    , port_(port)
    , planner_(settings_.failover)
{
}

ServerLink *GroupScheduler::find(ServerNumber number)
{
    const auto found = servers_.find(number);
    return found == servers_.end() ? nullptr : &found->second;
}

ServerConnection *GroupScheduler::find(ServerConnectionKey key)
{
    auto *link = find(key.server);
    if (link == nullptr)
        return nullptr;
    const auto found = link->connections.find(key.connection);
    return found == link->connections.end() ? nullptr : &found->second;
}

void GroupScheduler::submit(GroupRequest request, TimePoint now)
{
    ++counters_.requests;
    if (request.scope == RequestScope::InTransaction) {
        continueTransaction(std::move(request), now);
        return;
    }
    const auto number = request.number;
    auto &pending = requests_[number];
    pending.request = std::move(request);
    pending.holdUntil = pending.request.deadline - settings_.refusalMargin;
    place(pending, now);
}

void GroupScheduler::place(Pending &pending, TimePoint now)
{
    const auto &request = pending.request;
    pending.after.reset();
    if (request.mayUseReplica()) {
        pending.after = watermarks_.requiredPosition(request.startedAt, request.maxStaleness,
                                                     request.sessionPosition);
    }
    if (!pending.after)
        pending.needsPrimary = true;
    noteDoubt(now);
    if (pending.needsPrimary && doubtSince_) {
        awaitServer(pending, now);
        return;
    }
    const auto choices = candidates(pending, now);
    if (choices.empty()) {
        awaitServer(pending, now);
        return;
    }
    for (const auto number : choices) {
        if (enqueue(pending, number, now)) {
            pump(number, now);
            return;
        }
    }
    refuse(pending, "every server that could run it is busy");
}

std::vector<GroupScheduler::ServerNumber> GroupScheduler::candidates(const Pending &pending,
                                                                     TimePoint now) const
{
    if (pending.needsPrimary)
        return {*primary()};
    std::vector<std::pair<Duration, ServerNumber>> ranked;
    for (const auto &[number, link] : servers_) {
        if (!usable(link, now) || link.openConnections() == 0)
            continue;
        const bool behind = link.laggingUntil > now && link.position < *pending.after;
        if (behind || link.silence(now) > settings_.failover.silenceLimit / 2)
            continue;
        ranked.emplace_back(expectedResponse(link, now), number);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<ServerNumber> numbers;
    numbers.reserve(ranked.size());
    for (const auto &[cost, number] : ranked)
        numbers.push_back(number);
    return numbers;
}

Duration GroupScheduler::expectedResponse(const ServerLink &link, TimePoint now) const
{
    const auto capacity = link.capacity();
    const auto connections = std::max<std::uint32_t>(capacity.total, 1);
    const double waiting = static_cast<double>(link.policy->queued()) / connections;
    const double factor = (1 + waiting) * (link.primary ? primaryCostFactor : 1);
    const auto response = static_cast<double>(link.response.expected(now).count());
    return Duration(static_cast<Duration::rep>(response * factor));
}

bool GroupScheduler::enqueue(Pending &pending, ServerNumber number, TimePoint now)
{
    auto &link = servers_.at(number);
    const auto &request = pending.request;
    WorkItem item;
    item.id = request.number;
    item.route = request.route;
    item.caller = request.route;
    item.weight = request.weight;
    item.queueLimit = queueLimit;
    item.arrival = request.receivedAt;
    item.deadline = request.deadline;
    // What could be served only after its goal is refused. The time that a statement has waited for
    // a server to be reached isn't held against it.
    if (request.goal > Duration::zero())
        item.deadline = std::min(item.deadline, std::max(request.receivedAt, now) + request.goal);
    auto capacity = link.capacity();
    capacity.total = std::max<std::uint32_t>(capacity.total, 1);
    if (mayBurst(link, now))
        capacity.total += connectionBurst_ - link.connections.size();
    if (link.policy->submit(item, capacity, now))
        return false;
    pending.stage = Pending::Stage::Queued;
    pending.place = {number, 0};
    return true;
}

void GroupScheduler::awaitServer(Pending &pending, TimePoint now)
{
    if (doubtSince_ && !planner_.orderPending(now)) {
        pending.holdUntil = std::min(pending.holdUntil, *doubtSince_ + settings_.failoverPatience);
    }
    if (now >= pending.holdUntil) {
        refuse(pending, "no server could be reached in time");
        return;
    }
    pending.stage = Pending::Stage::AwaitingServer;
    awaitingServer_.push_back(pending.request.number);
}

void GroupScheduler::placeWaiting(TimePoint now)
{
    for (const auto number : std::exchange(awaitingServer_, {})) {
        const auto found = requests_.find(number);
        if (found != requests_.end() && found->second.stage == Pending::Stage::AwaitingServer)
            place(found->second, now);
    }
}

void GroupScheduler::refuse(Pending &pending, std::string_view text)
{
    finishWith(pending, AnswerCode::Busy, std::string(text));
}

void GroupScheduler::pump(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    while (link != nullptr && link->policy->queued() > 0) {
        link->budget.setLimit(connectionLimit(*link, now));
        const auto step = link->budget.acquire(link->registration.id, now);
        if (const auto *opening = std::get_if<OpenConnection>(&step)) {
            openConnection(number, opening->id, now);
            continue;
        }
        const auto *idle = std::get_if<UseConnection>(&step);
        if (idle == nullptr)
            return;
        const auto next = link->policy->next(link->capacity(), now);
        const auto found = next ? requests_.find(*next) : requests_.end();
        if (found == requests_.end()) {
            link->budget.released(idle->id, now);
            if (!next)
                return;
            link->policy->abandoned(*next, now);
            continue;
        }
        start(found->second, {number, idle->id}, now);
    }
}

ServerCommand GroupScheduler::toCommand(const GroupRequest &request) const
{
    ServerCommand command;
    command.id = request.statement.id;
    command.text = request.statement.text;
    switch (request.statement.kind) {
    case StatementKind::Read:
        command.kind = CommandKind::Read;
        break;
    case StatementKind::Write:
        command.kind = CommandKind::Write;
        break;
    case StatementKind::Commit:
        command.kind = CommandKind::Commit;
        break;
    default:
        command.kind = CommandKind::Execute;
        command.name = ConnectionContent::nameOf(*request.prepared);
        break;
    }
    return command;
}

void GroupScheduler::start(Pending &pending, ServerConnectionKey key, TimePoint now)
{
    auto &connection = *find(key);
    const auto &request = pending.request;
    pending.stage = Pending::Stage::Running;
    pending.place = key;
    pending.sentAt = now;
    if (!pending.firstSentAt)
        pending.firstSentAt = now;
    ++pending.attempts;
    auto commands = connection.content.prepareFor(*request.values, request.prepared);
    std::vector<ExpectedReply> kinds(commands.size(), ExpectedReply::Preparation);
    const bool begins = request.scope == RequestScope::BeginTransaction;
    const bool leaderOnly = !pending.after;
    auto statement = toCommand(request);
    // A lone read at a server that has lost the lead would be served from an old log, so one that
    // needs the leader runs in a transaction, which such a server refuses.
    const bool wrapped =
        !begins && request.readOnly && (leaderOnly || statement.kind == CommandKind::Execute);
    if (begins || wrapped) {
        ServerCommand begin{leaderOnly ? CommandKind::Begin : CommandKind::BeginReadOnly, {}};
        begin.after = pending.after;
        commands.push_back(std::move(begin));
        kinds.push_back(ExpectedReply::Begin);
        connection.afterBegin = {std::move(statement)};
        if (wrapped)
            connection.afterBegin.push_back({CommandKind::Rollback, {}});
    } else {
        if (request.readOnly)
            statement.after = pending.after;
        commands.push_back(std::move(statement));
        kinds.push_back(ExpectedReply::Statement);
    }
    connection.request = request.number;
    connection.guarded = leaderOnly;
    if (begins) {
        connection.session = request.session;
        transactions_[request.session] = {key, leaderOnly, false, now};
    }
    send(key, connection, commands, kinds, now);
}

void GroupScheduler::handleBegin(ServerConnectionKey key, const ServerReply &reply, TimePoint now)
{
    auto &connection = *find(key);
    const auto commands = std::exchange(connection.afterBegin, {});
    const auto found = connection.request ? requests_.find(*connection.request) : requests_.end();
    if (found == requests_.end()) {
        breakConnection(key, "its request is gone", now);
    } else if (reply.error) {
        connection.request.reset();
        handleError(key, found->second, *reply.error, reply, now);
    } else {
        constexpr std::array kinds{ExpectedReply::Statement, ExpectedReply::End};
        send(key, connection, commands, std::span(kinds).first(commands.size()), now);
    }
}

void GroupScheduler::continueTransaction(GroupRequest request, TimePoint now)
{
    const auto number = request.number;
    auto &pending = requests_[number];
    pending.request = std::move(request);
    const auto found = transactions_.find(pending.request.session);
    if (found == transactions_.end()) {
        finishWith(pending, AnswerCode::Aborted, "the transaction was rolled back");
        return;
    }
    auto &transaction = found->second;
    auto &connection = *find(transaction.place);
    pending.stage = Pending::Stage::Running;
    pending.place = transaction.place;
    pending.sentAt = now;
    if (!pending.firstSentAt)
        pending.firstSentAt = now;
    ++pending.attempts;
    transaction.lastUsed = now;
    auto commands =
        connection.content.prepareFor(*pending.request.values, pending.request.prepared);
    std::vector<ExpectedReply> kinds(commands.size(), ExpectedReply::Preparation);
    commands.push_back(toCommand(pending.request));
    kinds.push_back(ExpectedReply::Statement);
    connection.request = number;
    connection.guarded = transaction.plain;
    send(transaction.place, connection, commands, kinds, now);
}

void GroupScheduler::send(ServerConnectionKey key, ServerConnection &connection,
                          std::span<const ServerCommand> commands,
                          std::span<const ExpectedReply> kinds, TimePoint now)
{
    connection.lastUsed = now;
    servers_.at(key.server).asked(now);
    for (const auto kind : kinds)
        connection.outstanding.push_back({kind, now});
    port_.sendCommands(key, commands);
}

void GroupScheduler::endTransaction(SessionNumber session, TimePoint now)
{
    // A statement that still runs ends with its connection.
    const auto running = std::find_if(requests_.begin(), requests_.end(), [&](const auto &entry) {
        return entry.second.request.session == session;
    });
    if (running != requests_.end()) {
        auto &pending = running->second;
        if (pending.stage == Pending::Stage::Running) {
            const auto key = pending.place;
            pending.attempts = settings_.attemptLimit;
            if (pending.request.scope != RequestScope::Single)
                breakConnection(key, "its client has left", now);
            return;
        }
        finishWith(pending, AnswerCode::Aborted, "the session has ended");
    }
    const auto found = transactions_.find(session);
    if (found != transactions_.end())
        rollBack(found->second.place, now);
}

void GroupScheduler::expireRequests(TimePoint now)
{
    for (auto &[number, link] : servers_) {
        for (const auto &refused : link.policy->expire(now)) {
            const auto found = requests_.find(refused.id);
            if (found != requests_.end())
                refuse(found->second, refused.failure.message);
        }
    }
    std::vector<ServerConnectionKey> timedOut;
    std::vector<RequestNumber> unplaced;
    for (const auto &[number, pending] : requests_) {
        if (pending.stage == Pending::Stage::Running && now >= pending.request.deadline)
            timedOut.push_back(pending.place);
        else if (pending.stage == Pending::Stage::AwaitingServer && now >= pending.holdUntil)
            unplaced.push_back(number);
    }
    for (const auto &key : timedOut)
        breakConnection(key, "no answer within the route's timeout", now);
    for (const auto number : unplaced)
        refuse(requests_.at(number), "no server could be reached in time");
}

/// Sends reads elsewhere that a silent server keeps. Its answers, should they come, are dropped.
void GroupScheduler::moveFromSilent(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr || link->silence(now) <= settings_.failover.silenceLimit / 2)
        return;
    requeueFrom(number, now);
    std::vector<RequestNumber> moved;
    for (const auto &[id, pending] : requests_) {
        const bool read = pending.request.scope == RequestScope::Single && pending.request.readOnly;
        if (pending.stage == Pending::Stage::Running && pending.place.server == number && read
            && !pending.needsPrimary && pending.attempts < settings_.attemptLimit)
            moved.push_back(id);
    }
    for (const auto id : moved) {
        auto &pending = requests_.at(id);
        auto *connection = find(pending.place);
        if (!connection->afterBegin.empty())
            continue;
        connection->request.reset();
        link->policy->abandoned(id, now);
        noteRepetition(pending, std::nullopt);
        place(pending, now);
    }
}

void GroupScheduler::expireTransactions(TimePoint now)
{
    if (settings_.transactionIdleLimit <= Duration::zero())
        return;
    std::vector<ServerConnectionKey> idle;
    for (const auto &[session, transaction] : transactions_) {
        const auto *connection = find(transaction.place);
        if (connection != nullptr && !connection->request
            && now - transaction.lastUsed >= settings_.transactionIdleLimit)
            idle.push_back(transaction.place);
    }
    for (const auto &key : idle)
        rollBack(key, now);
}

void GroupScheduler::tick(TimePoint now)
{
    if (lastTick_ != TimePoint{} && now - lastTick_ > suspensionLimit) {
        for (auto &[number, link] : servers_)
            link.forgive(now);
    }
    lastTick_ = now;
    noteDoubt(now);
    expireRequests(now);
    expireTransactions(now);
    if (now >= nextReview_) {
        nextReview_ = now + settings_.reportInterval / 2;
        reviewPrimary(now);
    }
    std::vector<ServerNumber> numbers;
    for (const auto &[number, link] : servers_)
        numbers.push_back(number);
    for (const auto number : numbers) {
        closeSurplus(number, now);
        keepConnected(number, now);
        probeIdle(number, now);
        moveFromSilent(number, now);
        pump(number, now);
    }
    if (!awaitingServer_.empty())
        placeWaiting(now);
    watermarks_.removeBefore(now - watermarkRetention);
}

TimePoint GroupScheduler::nextDue(TimePoint now) const
{
    auto due = now + longestTick;
    for (const auto &[number, link] : servers_)
        due = std::min(due, link.policy->nextDue(now));
    for (const auto &[number, pending] : requests_) {
        due = std::min(due, pending.stage == Pending::Stage::AwaitingServer
                                ? pending.holdUntil
                                : pending.request.deadline);
    }
    return std::max(due, now + shortestTick);
}

void GroupScheduler::noteDoubt(TimePoint now)
{
    if (!primaryInDoubt(now))
        doubtSince_.reset();
    else if (!doubtSince_)
        doubtSince_ = now;
}

bool GroupScheduler::canServe(TimePoint now) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return usable(entry.second, now) && entry.second.openConnections() > 0;
    });
}

} // namespace shallotwalk
