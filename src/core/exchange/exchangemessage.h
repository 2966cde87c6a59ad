#pragma once

#include "core/position.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// Log position of a group's primary.
struct SharedWatermark
{
    std::string service; ///< Name of the group.
    Position position;
    /// When the primary was asked. In messages on the sender's clock, else on this proxy's.
    TimePoint sentAt;
    /// A commit at this position or beyond has been acknowledged; Position() if none is known.
    Position acknowledged = {};

    bool operator==(const SharedWatermark &) const = default;
};

/// Answer to a clock probe.
struct ClockEcho
{
    TimePoint probe;      ///< The probe, which is the time on the prober's clock when it was sent.
    TimePoint receivedAt; ///< Time on the answering proxy's clock when the probe arrived.

    bool operator==(const ClockEcho &) const = default;
};

/// Datagram from one proxy to another. Each may be lost, delayed, repeated or reordered.
struct ExchangeMessage
{
    std::string sender;             ///< VM of the sender.
    std::uint64_t incarnation = 0;  ///< Differs between two starts of the sender.
    std::optional<TimePoint> probe; ///< Time on the sender's clock; asks for an echo.
    std::optional<ClockEcho> echo;
    std::vector<SharedWatermark> watermarks;
    bool relayed = false; ///< The sender passes on what it has heard; it goes no further.

    bool operator==(const ExchangeMessage &) const = default;
};

} // namespace shallotwalk
