#include "core/serverlink.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Opening a connection takes longer than a round trip, so few are opened at once.
constexpr std::size_t openingLimit = 2;

constexpr Duration reopenDelay = std::chrono::milliseconds(100);

} // namespace

ServerLink::ServerLink(ServerRegistration registration_, std::unique_ptr<AdmissionPolicy> policy_,
                       std::size_t connectionLimit)
    : registration(std::move(registration_))
    , primary(registration.primary)
    , budget(ConnectionBudgetSettings{connectionLimit, openingLimit, reopenDelay})
    , policy(std::move(policy_))
{
}

void ServerLink::heard(TimePoint now)
{
    lastHeard_ = now;
    failingSince_.reset();
}

void ServerLink::failed(TimePoint now)
{
    if (!failingSince_)
        failingSince_ = now;
}

void ServerLink::forgive(TimePoint now)
{
    lastHeard_ = std::max(lastHeard_, now);
    if (failingSince_)
        failingSince_ = now;
}

Duration ServerLink::silence(TimePoint now) const
{
    auto oldest = TimePoint::max();
    for (const auto &[id, connection] : connections) {
        if (!connection.outstanding.empty())
            oldest = std::min(oldest, connection.outstanding.front().sentAt);
    }
    if (oldest == TimePoint::max())
        return Duration::zero();
    return std::max(now - std::max(oldest, lastHeard_), Duration::zero());
}

Duration ServerLink::refusedFor(TimePoint now) const
{
    return failingSince_ && openConnections() == 0 ? now - *failingSince_ : Duration::zero();
}

std::size_t ServerLink::openConnections() const
{
    return std::count_if(connections.begin(), connections.end(),
                         [](const auto &entry) { return entry.second.open; });
}

Capacity ServerLink::capacity() const
{
    Capacity capacity;
    for (const auto &[id, connection] : connections) {
        if (connection.session)
            continue;
        ++capacity.total;
        if (!connection.open || !connection.outstanding.empty())
            ++capacity.busy;
    }
    return capacity;
}

} // namespace shallotwalk
