#pragma once

#include "core/time.h"

#include <cstddef>

namespace shallotwalk {

/// Times and sizes that all proxies of a fleet must share for quotas to hold.
struct QuotaSettings
{
    /// Time for which a proxy delegates its share of all quotas. Until it ends the proxy delegates
    /// the share to nobody else, not even after a restart.
    Duration delegation{std::chrono::milliseconds(500)};
    /// Interval between requests that renew a delegation; a lost datagram doesn't end it.
    Duration renewal{std::chrono::milliseconds(220)};
    /// An allocator that leaves a request unanswered for this long is given up.
    Duration replyTimeout{std::chrono::milliseconds(250)};
    /// Time before an allocator that was given up is tried again.
    Duration retryInterval{std::chrono::milliseconds(1000)};
    /// Time from a request until the tokens granted for it expire.
    Duration tokenLife{std::chrono::milliseconds(500)};
    /// Longest time for which an operation waits for a token. Several round trips between regions.
    Duration admissionWait{std::chrono::milliseconds(100)};
    /// Shortest time between two requests to one allocator.
    Duration requestInterval{std::chrono::milliseconds(4)};
    /// Tokens for operations of this time are asked for ahead.
    Duration lookAhead{std::chrono::milliseconds(300)};
    /// The fleet counts as large as it was within this time.
    Duration fleetMemory{std::chrono::seconds(10)};
    /// Number of proxies of a fleet that allocate quotas. Each proxy delegates to all of them, so
    /// that a quota that isn't used up outlives the failure of one.
    std::size_t allocators = 4;
    /// Size of the demands of one request in bytes, so that it fits into one packet.
    std::size_t maxDemandBytes = 1000;
    /// Operations in a window beyond rate and burst that a quota tolerates, and the part of the
    /// window's operations that it tolerates besides.
    double toleratedOperations = 0;
    double toleratedPart = 0;
    Duration window{std::chrono::seconds(5)};
};

} // namespace shallotwalk
