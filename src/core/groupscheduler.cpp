#include "core/groupscheduler.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace shallotwalk {

namespace {

/// Factor on the expected response time of the primary when a server for a read is chosen. It
/// steers reads to replicas, to leave capacity on the primary for work that only the primary can
/// do.
constexpr double primaryCostFactor = 1.25;

/// Limit on the queued requests of one route at one server; requests carry no limit of their own.
constexpr std::uint32_t queueLimit = 64;

constexpr Duration minTickInterval = std::chrono::milliseconds(5);
constexpr Duration maxTickInterval = std::chrono::milliseconds(100);

/// A longer interval between ticks means that this process was suspended.
constexpr Duration suspensionLimit = std::chrono::milliseconds(500);

/// Age at which watermarks are dropped; longer than the staleness that any route is likely to
/// allow.
constexpr Duration watermarkRetention = std::chrono::seconds(15);

} // namespace

GroupScheduler::GroupScheduler(GroupSchedulerSettings settings, GroupPort &port)
    : settings_(std::move(settings))
    , port_(port)
    , sharing_(settings_.watermarks)
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
    dispatch(pending, now);
}

void GroupScheduler::dispatch(Pending &pending, TimePoint now)
{
    const auto &request = pending.request;
    pending.requiredPosition.reset();
    if (request.mayUseReplica()) {
        pending.requiredPosition = watermarks_.requiredPosition(
            request.startedAt, request.maxStaleness, request.sessionPosition);
    }
    if (!pending.requiredPosition)
        pending.needsPrimary = true;
    updatePrimaryAvailability(now);
    if (pending.needsPrimary && (primaryUnavailableSince_ || writesMustWait(request))) {
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
            startQueued(number, now);
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
    // Failing servers come last: they are used only if no other can be.
    std::vector<std::tuple<bool, Duration, ServerNumber>> ranked;
    for (const auto &[number, link] : servers_) {
        if (!usable(link, now) || !reachable(link, now))
            continue;
        const bool behind = link.laggingUntil > now && link.position < *pending.requiredPosition;
        if (behind || link.silence(now) > settings_.failover.silenceLimit / 2)
            continue;
        const bool failing = settings_.avoidFailingServers
                             && (pending.failedAt == number || !link.errors.admits(now));
        ranked.emplace_back(failing, expectedResponse(link, now), number);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<ServerNumber> numbers;
    numbers.reserve(ranked.size());
    for (const auto &[failing, response, number] : ranked)
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
    const auto opening = link.openConnections() == 0 ? link.openingTime : Duration::zero();
    return Duration(static_cast<Duration::rep>(response * factor)) + opening;
}

bool GroupScheduler::enqueue(Pending &pending, ServerNumber number, TimePoint now)
{
    auto &link = servers_.at(number);
    const auto &request = pending.request;
    WorkItem item;
    item.id = request.number;
    item.route = request.route;
    item.caller = connectionsPerTeam_ ? request.team.name : request.route;
    item.weight = request.weight;
    item.queueLimit = queueLimit;
    item.arrival = request.receivedAt;
    item.deadline = request.deadline;
    // A request that could be served only after its latency goal is refused. The time that it has
    // waited for a server to become reachable doesn't count towards the goal.
    if (request.goal > Duration::zero())
        item.deadline = std::min(item.deadline, std::max(request.receivedAt, now) + request.goal);
    if (!opensInTime(link, item.deadline, now))
        return false;
    auto capacity = link.capacity();
    capacity.total = std::max<std::uint32_t>(capacity.total, 1);
    if (mayBurst(link, now))
        capacity.total += allotment_.burst - link.requestConnections();
    if (link.policy->submit(item, capacity, now))
        return false;
    pending.stage = Pending::Stage::Queued;
    pending.target = {number, 0};
    return true;
}

void GroupScheduler::awaitServer(Pending &pending, TimePoint now)
{
    if (primaryUnavailableSince_ && !planner_.orderPending(now)) {
        pending.holdUntil =
            std::min(pending.holdUntil, *primaryUnavailableSince_ + settings_.failoverWaitLimit);
    }
    const bool tooLate =
        !servers_.empty() && !keepsConnections() && earliestStart(now) >= pending.holdUntil;
    if (now >= pending.holdUntil || tooLate) {
        refuse(pending, "no server could be reached in time");
        return;
    }
    pending.stage = Pending::Stage::AwaitingServer;
    awaitingServer_.push_back(pending.request.number);
}

void GroupScheduler::dispatchWaiting(TimePoint now)
{
    for (const auto number : std::exchange(awaitingServer_, {})) {
        const auto found = requests_.find(number);
        if (found != requests_.end() && found->second.stage == Pending::Stage::AwaitingServer)
            dispatch(found->second, now);
    }
}

void GroupScheduler::refuse(Pending &pending, std::string_view text)
{
    finishWithError(pending, AnswerCode::Busy, std::string(text));
}

void GroupScheduler::startQueued(ServerNumber number, TimePoint now)
{
    if (connectionsPerTeam_) {
        startQueuedPerTeam(number, now);
        return;
    }
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

ServerCommand GroupScheduler::toCommand(const GroupRequest &request,
                                        const ConnectionContent &content) const
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
        command.name = content.nameOf(*request.prepared);
        break;
    }
    return command;
}

void GroupScheduler::start(Pending &pending, ServerConnectionKey key, TimePoint now)
{
    auto &connection = *find(key);
    const auto &request = pending.request;
    pending.stage = Pending::Stage::Running;
    pending.target = key;
    pending.sentAt = now;
    if (!pending.firstSentAt)
        pending.firstSentAt = now;
    ++pending.attempts;
    servers_.at(key.server).errors.sent(now);
    auto commands = connection.content.prepareFor(*request.values, request.prepared);
    std::vector<ExpectedReply> kinds(commands.size(), ExpectedReply::Preparation);
    const bool begins = request.scope == RequestScope::BeginTransaction;
    const bool primaryOnly = !pending.requiredPosition;
    auto statement = toCommand(request, connection.content);
    // A server that is no longer the primary would serve a read outside of a transaction from an
    // outdated log. It refuses a begin, so a read that needs the primary runs in a transaction.
    const bool wrapped =
        !begins && request.readOnly && (primaryOnly || statement.kind == CommandKind::Execute);
    if (begins || wrapped) {
        ServerCommand begin{primaryOnly ? CommandKind::Begin : CommandKind::BeginReadOnly, {}};
        begin.after = pending.requiredPosition;
        commands.push_back(std::move(begin));
        kinds.push_back(ExpectedReply::Begin);
        connection.afterBegin = {std::move(statement)};
        if (wrapped)
            connection.afterBegin.push_back({CommandKind::Rollback, {}});
    } else {
        if (request.readOnly)
            statement.after = pending.requiredPosition;
        commands.push_back(std::move(statement));
        kinds.push_back(ExpectedReply::Statement);
    }
    connection.request = request.number;
    connection.provesPrimary = primaryOnly;
    if (begins) {
        connection.session = request.session;
        transactions_[request.session] = {key, primaryOnly, false, now};
    }
    send(key, connection, commands, kinds, now);
}

void GroupScheduler::handleBegin(ServerConnectionKey key, const ServerReply &reply, TimePoint now)
{
    auto &connection = *find(key);
    const auto commands = std::exchange(connection.afterBegin, {});
    const auto found = connection.request ? requests_.find(*connection.request) : requests_.end();
    if (found == requests_.end()) {
        abortConnection(key, "the request of the connection no longer exists", now);
    } else if (reply.error) {
        connection.request.reset();
        handleError(key, found->second, *reply.error, reply, now);
    } else {
        constexpr std::array kinds{ExpectedReply::Statement, ExpectedReply::ProxyRollback};
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
        finishWithError(pending, AnswerCode::Aborted, "the transaction was rolled back");
        return;
    }
    auto &transaction = found->second;
    auto &connection = *find(transaction.connectionKey);
    pending.stage = Pending::Stage::Running;
    pending.target = transaction.connectionKey;
    pending.sentAt = now;
    if (!pending.firstSentAt)
        pending.firstSentAt = now;
    ++pending.attempts;
    transaction.lastUsed = now;
    auto commands =
        connection.content.prepareFor(*pending.request.values, pending.request.prepared);
    std::vector<ExpectedReply> kinds(commands.size(), ExpectedReply::Preparation);
    commands.push_back(toCommand(pending.request, connection.content));
    kinds.push_back(ExpectedReply::Statement);
    connection.request = number;
    connection.provesPrimary = transaction.onPrimary;
    send(transaction.connectionKey, connection, commands, kinds, now);
}

void GroupScheduler::send(ServerConnectionKey key, ServerConnection &connection,
                          std::span<const ServerCommand> commands,
                          std::span<const ExpectedReply> kinds, TimePoint now)
{
    connection.lastUsed = now;
    servers_.at(key.server).commandsSent(now);
    connection.replies.sent(kinds, now, watermarks_.newest());
    port_.sendCommands(key, commands);
}

void GroupScheduler::endTransaction(SessionNumber session, TimePoint now)
{
    // A running statement of a transaction is ended by closing its connection. One outside of any
    // transaction isn't interrupted, but isn't retried either.
    const auto running = std::find_if(requests_.begin(), requests_.end(), [&](const auto &entry) {
        return entry.second.request.session == session;
    });
    if (running != requests_.end()) {
        auto &pending = running->second;
        if (pending.stage == Pending::Stage::Running) {
            const auto key = pending.target;
            pending.attempts = settings_.attemptLimit;
            if (pending.request.scope != RequestScope::Single)
                abortConnection(key, "the client ended its transaction or disconnected", now);
            return;
        }
        releaseReservation(pending, now);
        finishWithError(pending, AnswerCode::Aborted, "the session has ended");
    }
    const auto found = transactions_.find(session);
    if (found != transactions_.end())
        rollBack(found->second.connectionKey, now);
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
    std::vector<RequestNumber> unserved;
    std::vector<RequestNumber> unconnected;
    std::vector<RequestNumber> overdue;
    for (const auto &[number, pending] : requests_) {
        if (now >= pending.request.deadline)
            overdue.push_back(number);
        if (pending.stage == Pending::Stage::Running && now >= pending.request.deadline)
            timedOut.push_back(pending.target);
        else if (pending.stage == Pending::Stage::AwaitingServer && now >= pending.holdUntil)
            unserved.push_back(number);
        else if (pending.stage == Pending::Stage::Connecting
                 && now >= pending.request.deadline - settings_.refusalMargin)
            unconnected.push_back(number);
    }
    for (const auto &key : timedOut)
        abortConnection(key, "no answer within the route's timeout", now);
    for (const auto number : unserved)
        refuse(requests_.at(number), "no server could be reached in time");
    for (const auto number : unconnected) {
        const auto found = requests_.find(number);
        if (found == requests_.end())
            continue;
        releaseReservation(found->second, now);
        refuse(found->second, "no connection could be opened in time");
    }
    for (const auto number : overdue)
        endStranded(number, now);
}

/// Answers a request that still exists after its deadline, although its stage should have ended it.
void GroupScheduler::endStranded(RequestNumber number, TimePoint now)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    ++counters_.requestsStranded;
    port_.requestStranded(found->second.request);
    if (found->second.stage == Pending::Stage::Running)
        handleLostRequest(found->second, true, now);
    else
        refuse(found->second, "no server could run it in time");
}

/// Moves requests queued at a silent server, and reads that run there, to other servers. Late
/// replies of the silent server are dropped.
void GroupScheduler::moveFromSilentServer(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr || link->silence(now) <= settings_.failover.silenceLimit / 2)
        return;
    requeueFrom(number, now);
    std::vector<RequestNumber> moved;
    for (const auto &[id, pending] : requests_) {
        const bool read = pending.request.scope == RequestScope::Single && pending.request.readOnly;
        if (pending.stage == Pending::Stage::Running && pending.target.server == number && read
            && !pending.needsPrimary && pending.attempts < settings_.attemptLimit)
            moved.push_back(id);
    }
    for (const auto id : moved) {
        auto &pending = requests_.at(id);
        auto *connection = find(pending.target);
        if (!connection->afterBegin.empty())
            continue;
        connection->request.reset();
        link->policy->abandoned(id, now);
        recordRetry(pending, std::nullopt);
        dispatch(pending, now);
    }
}

void GroupScheduler::expireTransactions(TimePoint now)
{
    if (settings_.transactionIdleLimit <= Duration::zero())
        return;
    std::vector<ServerConnectionKey> idle;
    for (const auto &[session, transaction] : transactions_) {
        const auto *connection = find(transaction.connectionKey);
        if (connection != nullptr && !connection->request
            && now - transaction.lastUsed >= settings_.transactionIdleLimit)
            idle.push_back(transaction.connectionKey);
    }
    for (const auto &key : idle)
        rollBack(key, now);
}

void GroupScheduler::tick(TimePoint now)
{
    if (lastTick_ != TimePoint{} && now - lastTick_ > suspensionLimit) {
        for (auto &[number, link] : servers_)
            link.restartTimers(now);
        historyUnknown_ = confirmReplicas_ > 0;
    }
    lastTick_ = now;
    updatePrimaryAvailability(now);
    expireRequests(now);
    expireTransactions(now);
    if (now >= nextReview_) {
        nextReview_ = now + settings_.reportInterval / 2;
        reviewPrimary(now);
    }
    reviewDeparted(now);
    std::vector<ServerNumber> numbers;
    for (const auto &[number, link] : servers_)
        numbers.push_back(number);
    for (const auto number : numbers) {
        closeSurplusConnections(number, now);
        keepConnected(number, now);
        probeIdle(number, now);
        moveFromSilentServer(number, now);
        startQueued(number, now);
    }
    if (!awaitingServer_.empty())
        dispatchWaiting(now);
    watermarks_.removeBefore(now - watermarkRetention);
}

TimePoint GroupScheduler::nextDue(TimePoint now) const
{
    auto due = now + maxTickInterval;
    for (const auto &[number, link] : servers_)
        due = std::min(due, link.policy->nextDue(now));
    for (const auto &[number, pending] : requests_) {
        due = std::min(due, pending.stage == Pending::Stage::AwaitingServer
                                ? pending.holdUntil
                                : pending.request.deadline);
    }
    return std::max(due, now + minTickInterval);
}

void GroupScheduler::updatePrimaryAvailability(TimePoint now)
{
    if (!primaryUnavailable(now))
        primaryUnavailableSince_.reset();
    else if (!primaryUnavailableSince_)
        primaryUnavailableSince_ = now;
}

bool GroupScheduler::canServe(TimePoint now) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return usable(entry.second, now) && reachable(entry.second, now);
    });
}

} // namespace shallotwalk
