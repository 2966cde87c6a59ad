#include "core/connectionbudget.h"

#include <algorithm>

namespace shallotwalk {

ConnectionBudget::ConnectionBudget(const ConnectionBudgetSettings &settings)
    : settings_(settings)
    , random_(static_cast<std::minstd_rand::result_type>(settings.randomSeed))
{
}

ConnectionStep ConnectionBudget::acquire(std::string_view server, std::string_view team,
                                         TimePoint now)
{
    // The most recently used connection comes first, so that surplus ones grow idle and close.
    std::optional<ConnectionId> best;
    for (const auto &[id, connection] : connections_) {
        const bool usable = connection.state == State::Idle && connection.server == server
                            && connection.team == team;
        if (usable && (!best || connections_.at(*best).since < connection.since))
            best = id;
    }
    if (best) {
        connections_.at(*best).state = State::Busy;
        return UseConnection{*best};
    }
    if (!mayOpen(server, now))
        return WaitForConnection{};
    if (connections_.size() < settings_.limit) {
        const auto id = nextId_++;
        connections_.emplace(
            id, Connection{std::string(server), std::string(team), State::Opening, now});
        return OpenConnection{id};
    }
    if (const auto idle = longestIdle()) {
        connections_.at(*idle).state = State::Closing;
        return CloseIdleConnection{*idle};
    }
    return WaitForConnection{};
}

bool ConnectionBudget::mayOpen(std::string_view server, TimePoint now) const
{
    return count(State::Opening) < settings_.openingLimit && now >= retryAt(server);
}

bool ConnectionBudget::available(std::string_view server, TimePoint now) const
{
    return mayOpen(server, now)
           && (connections_.size() < settings_.limit || count(State::Idle) > 0);
}

void ConnectionBudget::opened(ConnectionId id, TimePoint now)
{
    if (const auto found = failures_.find(serverOf(id)); found != failures_.end())
        failures_.erase(found);
    released(id, now);
}

void ConnectionBudget::released(ConnectionId id, TimePoint now)
{
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.state == State::Closing)
        return;
    found->second.state = State::Idle;
    found->second.since = now;
}

void ConnectionBudget::retire(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found != connections_.end())
        found->second.state = State::Closing;
}

void ConnectionBudget::closed(ConnectionId id, bool failedToOpen, TimePoint now)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    if (failedToOpen) {
        auto &failures = failures_[found->second.server];
        failures.retryAt = now + delayAfter(++failures.count);
    }
    connections_.erase(found);
}

Duration ConnectionBudget::delayAfter(unsigned failures)
{
    const auto base = settings_.openFailureDelay;
    if (settings_.longestOpenFailureDelay <= base)
        return base;
    constexpr unsigned maxDoublings = 10;
    const auto grown = base * (1U << std::min(failures - 1, maxDoublings));
    const auto delay = std::min<Duration>(grown, settings_.longestOpenFailureDelay);
    return Duration(
        std::uniform_int_distribution<Duration::rep>(delay.count() / 2, delay.count())(random_));
}

bool ConnectionBudget::idle(ConnectionId id) const
{
    const auto found = connections_.find(id);
    return found != connections_.end() && found->second.state == State::Idle;
}

bool ConnectionBudget::take(ConnectionId id)
{
    if (!idle(id))
        return false;
    connections_.at(id).state = State::Busy;
    return true;
}

std::string_view ConnectionBudget::serverOf(ConnectionId id) const
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? std::string_view() : found->second.server;
}

TimePoint ConnectionBudget::retryAt(std::string_view server) const
{
    const auto found = failures_.find(server);
    return found == failures_.end() ? TimePoint::min() : found->second.retryAt;
}

std::size_t ConnectionBudget::busy() const
{
    return count(State::Busy);
}

std::size_t ConnectionBudget::busyOn(std::string_view server) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [server](const auto &entry) {
            return entry.second.state == State::Busy && entry.second.server == server;
        }));
}

std::size_t ConnectionBudget::count(State state) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [state](const auto &entry) { return entry.second.state == state; }));
}

std::optional<ConnectionId> ConnectionBudget::longestIdle() const
{
    std::optional<ConnectionId> oldest;
    for (const auto &[id, connection] : connections_) {
        if (connection.state == State::Idle
            && (!oldest || connection.since < connections_.at(*oldest).since))
            oldest = id;
    }
    return oldest;
}

} // namespace shallotwalk
