#include "core/serverlink.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Connections to one server that may be opening at once; few, because opening one takes longer
/// than a round trip.
constexpr std::size_t openingLimit = 2;

/// Delay after a failed opening before the next attempt.
constexpr Duration reopenDelay = std::chrono::milliseconds(100);

} // namespace

ServerLink::ServerLink(ServerRegistration entry, std::unique_ptr<AdmissionPolicy> queue,
                       const ConnectionAllotment &allotment, std::uint64_t randomSeed)
    : registration(std::move(entry))
    , primary(registration.primary)
    , budget(ConnectionBudgetSettings{allotment.share, openingLimit, reopenDelay,
                                      allotment.longestRetryDelay, randomSeed})
    , policy(std::move(queue))
{
}

void ServerLink::commandsSent(TimePoint now)
{
    if (!unansweredSince_)
        unansweredSince_ = now;
}

void ServerLink::replyReceived(TimePoint now)
{
    lastReplyAt_ = now;
    failingSince_.reset();
    unansweredSince_.reset();
    if (awaitsReply())
        unansweredSince_ = now;
}

bool ServerLink::awaitsReply() const
{
    return std::any_of(connections.begin(), connections.end(),
                       [](const auto &entry) { return entry.second.replies.due() > 0; });
}

bool ServerLink::awaitsOwnReply() const
{
    return std::any_of(connections.begin(), connections.end(), [](const auto &entry) {
        return !entry.second.request && entry.second.replies.due() > 0;
    });
}

bool ServerLink::runsStatement() const
{
    return std::any_of(connections.begin(), connections.end(), [](const auto &entry) {
        return entry.second.request && entry.second.replies.due() > 0;
    });
}

void ServerLink::connectionFailed(TimePoint now)
{
    if (!failingSince_)
        failingSince_ = now;
}

void ServerLink::restartTimers(TimePoint now)
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
    const bool connected = std::any_of(connections.begin(), connections.end(),
                                       [](const auto &entry) { return entry.second.open; });
    return failingSince_ && !connected ? now - *failingSince_ : Duration::zero();
}

std::size_t ServerLink::openConnections() const
{
    return std::count_if(connections.begin(), connections.end(), [](const auto &entry) {
        return entry.second.open && !entry.second.control;
    });
}

std::size_t ServerLink::requestConnections() const
{
    return std::count_if(connections.begin(), connections.end(),
                         [](const auto &entry) { return !entry.second.control; });
}

Capacity ServerLink::capacity() const
{
    Capacity capacity;
    for (const auto &[id, connection] : connections) {
        if (connection.session || connection.control)
            continue;
        ++capacity.total;
        if (!connection.open || !connection.replies.empty())
            ++capacity.busy;
    }
    return capacity;
}

} // namespace shallotwalk
