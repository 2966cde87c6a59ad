#pragma once

#include "core/time.h"

#include <cstddef>

namespace shallotwalk {

/// Times and limits of database ownership; see design.md, section 5. All proxies use the same.
struct OwnershipSettings
{
    Duration promise{std::chrono::milliseconds(2000)};
    Duration renewal{std::chrono::milliseconds(500)};
    Duration rankDelay{std::chrono::milliseconds(300)};
    /// Spreads takeovers after a failed proxy; shorter than rankDelay, so that ranks stay in order.
    Duration takeoverJitter{std::chrono::milliseconds(100)};
    /// Spreads the creation of all records at the first start of a fleet.
    Duration creationJitter{std::chrono::milliseconds(1000)};
    /// Shortest time between two requests to a candidate that refuses.
    Duration refusedRetry{std::chrono::milliseconds(50)};
    /// A takeover needs a majority of candidates that were free within this time.
    Duration query{std::chrono::milliseconds(500)};
    /// Time between queries to the same candidate.
    Duration queryRetry{std::chrono::milliseconds(100)};
    /// A store call without an answer for this long has an unknown result.
    Duration storeTimeout{std::chrono::milliseconds(1000)};
    /// Time between attempts while the store fails; jitter adds up to as much again.
    Duration storeRetry{std::chrono::milliseconds(500)};
    /// A timer that is later than this means that the process was suspended and may have missed
    /// renewals.
    Duration longestTimerDelay{std::chrono::milliseconds(500)};
    /// A candidate that has been dead for this long is replaced.
    Duration candidateDead{std::chrono::seconds(10)};
    /// Part of a promise that the owner doesn't use, for differences of clock rates.
    int marginPercent = 10;
    std::size_t candidateCount = 3;
};

} // namespace shallotwalk
