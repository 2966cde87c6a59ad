#pragma once

#include "core/position.h"
#include "core/time.h"

#include <optional>
#include <string>

namespace shallotwalk {

/// What is known of one backend server, from its monitor, the list of VMs and its open work.
struct ServerStatus
{
    std::string vm;
    bool reachable = false;
    bool leaving = false;
    bool inRecovery = true;      ///< A replica; false for a primary.
    Position received;           ///< Last position received (a primary: written).
    Position replayed;           ///< Last position visible to reads.
    std::optional<Duration> lag; ///< Age of the replayed data; empty if it can't be measured.
    TimePoint sampledAt; ///< When the probe was sent, so that the state is at least this recent.
    std::uint32_t busyConnections = 0;

    /// A replica's WAL receiver has heard from its primary within the sample interval.
    bool walReceiverContact = true;
    /// The row of shallotwalk_terms with the highest period that is visible on the server: its
    /// period and term; epoch 0: none.
    ServicePeriod servedPeriod;
    Term servedTerm = 0;
    /// Of a server that left recovery: the position in the previous term at which its term began
    /// (pg_last_wal_replay_lsn(), which stays fixed after a promotion); empty if unknown.
    std::optional<LogPosition> forkLsn;
};

} // namespace shallotwalk
