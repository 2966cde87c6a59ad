#pragma once

#include "core/time.h"

namespace shallotwalk {

/// Source of time for actors, so that tests can set it.
class Clock
{
public:
    virtual ~Clock() = default;

    /// The current time. Thread-safe.
    virtual TimePoint now() const = 0;
};

/// CLOCK_BOOTTIME: monotonic, and counts the time that the VM was suspended.
class BootClock : public Clock
{
public:
    TimePoint now() const override;
};

} // namespace shallotwalk
