#pragma once

#include "core/exchange/exchangemessage.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace shallotwalk {

/// Converts times of another proxy's clock to this proxy's. Both clocks count steadily, so they
/// differ by a constant as long as the other process runs. The peer received a probe after it was
/// sent, which gives a lower bound on that constant. A converted time is therefore never later than
/// the true one, however long a message has been on its way, and data that is dated with it never
/// seems fresher than it is. Not thread-safe.
class PeerClock
{
public:
    /// Whether the peer should be probed: no bound is known, or it is old.
    bool probeDue(TimePoint now) const;

    /// Records that a probe is sent to the peer.
    void probed(TimePoint now);

    /// Records an \a echo from the process \a incarnation of the peer. Echoes of probes that were
    /// not sent lately are ignored.
    void answered(std::uint64_t incarnation, const ClockEcho &echo, TimePoint now);

    /// The time on this proxy's clock that is not later than \a time on the clock of the process
    /// \a incarnation; empty while no bound is known for it.
    std::optional<TimePoint> toLocal(std::uint64_t incarnation, TimePoint time,
                                     TimePoint now) const;

private:
    Duration allowedDrift(TimePoint now) const;

    std::uint64_t incarnation_ = 0;
    std::optional<Duration> offset_; ///< Lower bound on this clock's lead over the peer's.
    TimePoint measuredAt_;           ///< When the bound was measured.
    std::deque<TimePoint> probes_;   ///< Probes without an echo, oldest first.
};

} // namespace shallotwalk
