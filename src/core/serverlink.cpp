#include "core/serverlink.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Opening a connection takes longer than a round trip, so few are opened at once.
constexpr std::size_t openingLimit = 2;

constexpr Duration reopenDelay = std::chrono::milliseconds(100);

} // namespace

ServerLink::ServerLink(ServerRegistration entry, std::unique_ptr<AdmissionPolicy> queue,
                       std::size_t connectionLimit)
    : registration(std::move(entry))
    , primary(registration.primary)
    , budget(ConnectionBudgetSettings{connectionLimit, openingLimit, reopenDelay})
    , policy(std::move(queue))
{
}

void ServerLink::asked(TimePoint now)
{
    if (!unansweredSince_)
        unansweredSince_ = now;
}

void ServerLink::heard(TimePoint now)
{
    lastHeard_ = now;
    failingSince_.reset();
    unansweredSince_.reset();
    if (replyDue())
        unansweredSince_ = now;
}

bool ServerLink::replyDue() const
{
    return std::any_of(connections.begin(), connections.end(),
                       [](const auto &entry) { return !entry.second.outstanding.empty(); });
}

void ServerLink::failed(TimePoint now)
{
    if (!failingSince_)
        failingSince_ = now;
}

void ServerLink::forgive(TimePoint now)
{
    if (unansweredSince_)
        unansweredSince_ = now;
    if (failingSince_)
        failingSince_ = now;
}

Duration ServerLink::silence(TimePoint now) const
{
    return unansweredSince_ ? now - *unansweredSince_ : Duration::zero();
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
