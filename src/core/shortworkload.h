#pragma once

#include "core/time.h"

#include <cstdint>

namespace shallotwalk {

/// Measures how many connections short work uses, as an average over the last seconds, and
/// estimates how long short work waits if it has fewer connections. Not thread-safe.
class ShortWorkLoad
{
public:
    /// The number of running short requests is \a running from \a now on.
    void update(std::uint32_t running, TimePoint now);

    /// Whether short work keeps its p99 wait within 1.5 times the wait with all \a total
    /// connections, or waits negligibly, when long work leaves it \a remaining of them.
    bool toleratesLoss(std::uint32_t total, std::uint32_t remaining, TimePoint now);

    /// Average number of connections in use, at the last update.
    double average() const { return average_; }

private:
    struct Answer
    {
        std::uint32_t total = 0;
        std::uint32_t remaining = 0;
        bool tolerates = false;
        TimePoint validUntil;
    };

    double average_ = 0;
    std::uint32_t running_ = 0;
    TimePoint updated_;
    Answer answer_; ///< Of the last call, so that a blocked report costs little.
};

} // namespace shallotwalk
