#include "core/groupscheduler.h"

#include <algorithm>
#include <array>

namespace shallotwalk {

namespace {

/// Limit on the time for which a leaving primary still gets requests until a successor has taken
/// over. Shorter than the time after which leaving servers must get no more requests.
constexpr Duration leavingPrimaryLimit = std::chrono::milliseconds(4000);

} // namespace

std::optional<GroupScheduler::ServerNumber> GroupScheduler::primary() const
{
    const auto found = std::find_if(servers_.begin(), servers_.end(), [](const auto &entry) {
        return entry.second.primary && entry.second.registered;
    });
    if (found == servers_.end())
        return std::nullopt;
    return found->first;
}

bool GroupScheduler::usable(const ServerLink &link, TimePoint now) const
{
    if (!link.registered)
        return false;
    if (!link.leavingSince)
        return true;
    return link.primary && now - *link.leavingSince < leavingPrimaryLimit;
}

void GroupScheduler::setWitness(bool witness, std::size_t rank)
{
    witness_ = witness;
    sharing_.setRank(rank);
}

void GroupScheduler::watermarkHeard(Position position, TimePoint sentAt, TimePoint now)
{
    ++counters_.watermarksHeard;
    sharing_.heard(sentAt);
    watermarks_.record(position, sentAt);
    if (!awaitingServer_.empty())
        dispatchWaiting(now);
}

/// Records a position that the primary has told this proxy.
void GroupScheduler::recordWatermark(Position position, TimePoint sentAt)
{
    watermarks_.record(position, sentAt);
    // That a term has acknowledged commits must be known to a proxy that replaces its primary.
    const auto acknowledged = floor_.acknowledged();
    const bool newTerm = acknowledged.term > sharedTerm_;
    if (!sharing_.takeForSharing(sentAt) && !newTerm)
        return;
    sharedTerm_ = std::max(sharedTerm_, acknowledged.term);
    ++counters_.watermarksShared;
    port_.shareWatermark(position, sentAt, acknowledged);
}

/// Records what the acknowledgment of a commit by \a link shows, whose log ended at \a logEnd then.
void GroupScheduler::recordAcknowledged(const ServerLink &link, const Pending &pending,
                                        Position logEnd)
{
    if (confirmReplicas_ == 0)
        return;
    floor_.commitAcknowledged(pending.logEndBefore, link.replicaTerm + 1, logEnd);
    planner_.setLogFloor(floor_.position());
}

void GroupScheduler::acknowledgedHeard(Position position)
{
    if (confirmReplicas_ == 0)
        return;
    floor_.heard(position);
    planner_.setLogFloor(floor_.position());
}

bool GroupScheduler::monitored(const ServerLink &link, TimePoint now) const
{
    // A leaving replica receives and confirms commits until it stops, and one without an entry may
    // do so as long as it is connected.
    return usable(link, now)
           || (confirmReplicas_ > 0
               && (link.registered || runsWithoutEntry(link) || mayReturn(link, now)));
}

/// Whether a server without an entry still has a connection, and hasn't started again since.
bool GroupScheduler::runsWithoutEntry(const ServerLink &link) const
{
    return !link.registered && !restarted(link) && link.openConnections() > 0;
}

bool GroupScheduler::restarted(const ServerLink &link) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.registered && entry.second.registration.id == link.registration.id;
    });
}

Term GroupScheduler::newestTerm() const
{
    Term newest = watermarks_.term();
    for (const auto &[number, link] : servers_)
        newest = std::max({newest, link.term, link.received.term});
    return newest;
}

void GroupScheduler::setConfirmReplicas(std::uint32_t count)
{
    if (count == confirmReplicas_)
        return;
    confirmReplicas_ = count;
    planner_.setConfirmReplicas(count);
    floor_.forgetAcknowledged();
    planner_.setLogFloor(floor_.position());
    departed_ = {};
    historyUnknown_ = count > 0;
}

bool GroupScheduler::primaryUnavailable(TimePoint now) const
{
    const auto number = primary();
    if (!number || primarySuspected_)
        return true;
    const auto &link = servers_.at(*number);
    return !usable(link, now) || link.silence(now) > settings_.failover.silenceLimit / 2;
}

void GroupScheduler::setServers(std::span<const ServerRegistration> servers, TimePoint now)
{
    std::set<ServerNumber> present;
    for (const auto &registration : servers) {
        const auto known = std::find_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
            const auto &other = entry.second.registration;
            return other.id == registration.id && other.startedAt == registration.startedAt
                   && other.host == registration.host && other.port == registration.port;
        });
        if (known != servers_.end()) {
            updateServer(known->first, registration, now);
            present.insert(known->first);
            continue;
        }
        const auto number = nextServer_++;
        auto &link = servers_
                         .try_emplace(number, registration, settings_.makePolicy(), allotment_,
                                      settings_.randomSeed + number)
                         .first->second;
        link.primary = false;
        if (registration.leaving)
            link.leavingSince = now;
        if (registration.primary && !primary())
            setPrimary(number, 0, now);
        present.insert(number);
    }
    std::vector<ServerNumber> gone;
    for (const auto &[number, link] : servers_) {
        if (!present.contains(number))
            gone.push_back(number);
    }
    for (const auto number : gone)
        retireServer(number, now);
    if (!primary() && primaryMissingSince_ == TimePoint::max())
        primaryMissingSince_ = now;
    tick(now);
}

void GroupScheduler::updateServer(ServerNumber number, const ServerRegistration &registration,
                                  TimePoint now)
{
    auto &link = servers_.at(number);
    const bool becamePrimary = registration.primary && !link.registration.primary;
    const bool lostPrimaryRole = !registration.primary && link.registration.primary;
    link.registration = registration;
    link.registered = true;
    link.departedAt.reset();
    if (!registration.leaving)
        link.leavingSince.reset();
    else if (!link.leavingSince)
        link.leavingSince = now;
    // A server registers as the primary after a promotion, so this is newer than what was known. If
    // it were wrong, the server would refuse statements that need the primary.
    if (becamePrimary)
        setPrimary(number, std::max(link.term, watermarks_.term()), now);
    else if (lostPrimaryRole)
        clearPrimary(link, now);
    if (!usable(link, now))
        requeueFrom(number, now);
}

void GroupScheduler::retireServer(ServerNumber number, TimePoint now)
{
    auto &link = servers_.at(number);
    link.registered = false;
    if (link.primary) {
        clearPrimary(link, now);
        // A primary that is no longer in the list is replaced without waiting for the missing
        // limit.
        primaryMissingSince_ = now - settings_.failover.missingPrimaryLimit;
    }
    recordDeparture(link, now);
    requeueFrom(number, now);
    closeSurplusConnections(number, now);
}

void GroupScheduler::requeueFrom(ServerNumber number, TimePoint now)
{
    std::vector<RequestNumber> queued;
    for (const auto &[id, pending] : requests_) {
        const bool waits =
            pending.stage == Pending::Stage::Queued || pending.stage == Pending::Stage::Connecting;
        if (waits && pending.target.server == number)
            queued.push_back(id);
    }
    for (const auto id : queued) {
        const auto found = requests_.find(id);
        if (found == requests_.end())
            continue;
        servers_.at(number).policy->cancel(id);
        releaseReservation(found->second, now);
        dispatch(found->second, now);
    }
}

bool GroupScheduler::sendOnIdleConnection(ServerNumber number,
                                          std::span<const ServerCommand> commands,
                                          std::span<const ExpectedReply> kinds, TimePoint now)
{
    auto &link = servers_.at(number);
    for (auto &[id, connection] : link.connections) {
        if (!connection.idle() || !link.budget.take(id))
            continue;
        send({number, id}, connection, commands, kinds, now);
        return true;
    }
    return false;
}

/// Sends \a command on the server's control connection. If there is none, it is opened for a later
/// call. Returns whether the command was sent.
bool GroupScheduler::sendOnControlConnection(ServerNumber number, const ServerCommand &command,
                                             ExpectedReply kind, TimePoint now)
{
    auto &link = servers_.at(number);
    for (auto &[id, connection] : link.connections) {
        if (!connection.control)
            continue;
        if (!connection.open || !connection.replies.empty())
            return false;
        send({number, id}, connection, {&command, 1}, {&kind, 1}, now);
        return true;
    }
    if (now < link.controlRetryAt)
        return false;
    link.controlRetryAt = now + settings_.reportInterval;
    const auto id = nextControlConnection_++;
    link.connections[id].control = true;
    openConnection(number, id, now);
    return false;
}

void GroupScheduler::requestReports(TimePoint now)
{
    const ServerCommand status{CommandKind::Status, {}};
    ServerCommand pause{CommandKind::Pause, {}};
    pause.term = pauseTerm_;
    ServerCommand demote{CommandKind::Demote, {}};
    demote.term = newestTerm() + 1;
    // Leaving replicas are paused first, so that those that stay have received no less.
    const bool leavingFirst = std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        const auto &link = entry.second;
        return link.leavingSince && !link.primary && link.pausedUntilTerm < pauseTerm_
               && now - link.reportedAt < settings_.failover.maxReportAge;
    });
    for (auto &[number, link] : servers_) {
        if (!monitored(link, now) || now - link.reportRequestedAt < settings_.reportInterval)
            continue;
        const bool pauses = !link.primary && link.pausedUntilTerm < pauseTerm_
                            && (link.leavingSince || !leavingFirst);
        const bool demotes = link.primary && link.demotionWantedAt && !link.demotionRefused;
        const auto kind = demotes ? ExpectedReply::Demotion : ExpectedReply::Report;
        const auto &command = demotes ? demote : pauses ? pause : status;
        // A report isn't requested behind a statement: it would wait as long, and nothing would
        // tell an error in its place from one of the statement.
        const bool mayAsk =
            confirmReplicas_ > 0 ? link.registered : link.runsStatement() && !link.awaitsOwnReply();
        if (sendOnIdleConnection(number, {&command, 1}, {&kind, 1}, now)
            || (mayAsk && sendOnControlConnection(number, command, kind, now)))
            link.reportRequestedAt = now;
    }
}

void GroupScheduler::probeIdle(ServerNumber number, TimePoint now)
{
    auto *link = find(number);
    if (link == nullptr || !usable(*link, now))
        return;
    // Replies were due on a connection that has been closed, so the server is asked on another one.
    const bool unanswered = link->silence(now) > settings_.reportInterval && !link->awaitsReply();
    if (link->primary && confirmReplicas_ > 0 && link->silence(now) > settings_.reportInterval
        && now - link->reportRequestedAt >= settings_.reportInterval) {
        // Statements wait for replicas here, so their silence doesn't show that the primary fails.
        const ServerCommand command{CommandKind::Status, {}};
        const auto kind = ExpectedReply::Report;
        if (sendOnIdleConnection(number, {&command, 1}, {&kind, 1}, now)
            || sendOnControlConnection(number, command, kind, now))
            link->reportRequestedAt = now;
        return;
    }
    if (!link->primary) {
        // Only a proxy that may choose a new primary needs the reports of idle replicas.
        const bool reportDue = keepsConnections()
                               && now - std::max(link->reportRequestedAt, link->lastReplyAt())
                                      >= settings_.replicaProbeInterval;
        if (unanswered || reportDue) {
            const ServerCommand command{CommandKind::Status, {}};
            const auto kind = ExpectedReply::Report;
            if (sendOnIdleConnection(number, {&command, 1}, {&kind, 1}, now))
                link->reportRequestedAt = now;
        }
        return;
    }
    // Only the primary accepts a begin that isn't read-only.
    if (!unanswered
        && !sharing_.probeDue(std::max(watermarks_.newestAt(), link->reportRequestedAt), now))
        return;
    const std::array<ServerCommand, 2> commands{ServerCommand{CommandKind::Begin, {}},
                                                ServerCommand{CommandKind::Rollback, {}}};
    constexpr std::array kinds{ExpectedReply::Probe, ExpectedReply::ProxyRollback};
    if (sendOnIdleConnection(number, commands, kinds, now))
        link->reportRequestedAt = now;
}

} // namespace shallotwalk
