#include "core/primarymonitor.h"

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr unsigned suspectAfterMissed = 2;

} // namespace

PrimaryMonitor::PrimaryMonitor(MonitorSettings settings, std::span<const std::string> vms)
    : settings_(settings)
    , servers_(vms.size())
    , histories_(vms.size())
{
    for (std::size_t i = 0; i < vms.size(); ++i)
        servers_[i].vm = vms[i];
}

bool PrimaryMonitor::sample(const ServerStatus &status)
{
    const auto index = indexOf(status.vm);
    if (!index || status.sampledAt < servers_[*index].sampledAt)
        return false;
    auto &server = servers_[*index];
    auto &history = histories_[*index];
    if (!status.reachable) {
        server.reachable = false;
        server.sampledAt = status.sampledAt;
        server.lag.reset();
        history.noContactSince.reset();
        ++history.missed;
        return true;
    }
    const auto leaving = server.leaving;
    const auto busy = server.busyConnections;
    server = status;
    server.leaving = leaving;
    server.busyConnections = busy;
    history.missed = 0;
    history.lastAnswer = status.sampledAt;
    if (!status.inRecovery || status.walReceiverContact)
        history.noContactSince.reset();
    else if (!history.noContactSince)
        history.noContactSince = status.sampledAt;
    return true;
}

PrimaryState PrimaryMonitor::state(std::size_t index, bool writesWaiting, TimePoint now) const
{
    const auto &server = servers_[index];
    if (failed(index, now) || (server.reachable && server.inRecovery))
        return PrimaryState::Failed;
    if (histories_[index].missed >= suspectAfterMissed)
        return PrimaryState::Suspect;
    if (writesWaiting && contactLost(index, now))
        return PrimaryState::CutOff;
    return PrimaryState::Alive;
}

bool PrimaryMonitor::failed(std::size_t index, TimePoint now) const
{
    const auto &history = histories_[index];
    const auto limit = settings_.failureTime / settings_.sampleInterval;
    return history.missed >= limit && now - history.lastAnswer >= settings_.failureTime;
}

bool PrimaryMonitor::contactLost(std::size_t index, TimePoint now) const
{
    std::size_t lost = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto &since = histories_[i].noContactSince;
        if (i != index && since && now - *since >= settings_.failureTime)
            ++lost;
    }
    return 2 * lost > servers_.size() - 1;
}

TimePoint PrimaryMonitor::nextDue(TimePoint now) const
{
    auto due = TimePoint::max();
    const auto consider = [&](TimePoint since) {
        if (since + settings_.failureTime > now)
            due = std::min(due, since + settings_.failureTime);
    };
    for (const auto &history : histories_) {
        if (history.missed > 0)
            consider(history.lastAnswer);
        if (history.noContactSince)
            consider(*history.noContactSince);
    }
    return due;
}

std::optional<std::size_t> PrimaryMonitor::highestPrimary() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto &server = servers_[i];
        if (server.reachable && !server.inRecovery
            && (!best || server.received.term > servers_[*best].received.term))
            best = i;
    }
    return best;
}

std::optional<std::size_t> PrimaryMonitor::indexOf(std::string_view vm) const
{
    const auto found = std::find_if(servers_.begin(), servers_.end(),
                                    [vm](const auto &server) { return server.vm == vm; });
    if (found == servers_.end())
        return std::nullopt;
    return found - servers_.begin();
}

void PrimaryMonitor::setBusyConnections(std::size_t index, std::uint32_t count)
{
    servers_[index].busyConnections = count;
}

} // namespace shallotwalk
