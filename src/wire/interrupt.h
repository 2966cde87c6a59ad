#pragma once

namespace shallotwalk {

/// Ends the waits of a connection early, including those that begin later. The descriptor is polled
/// together with the connection's socket. Thread-safe.
class Interrupt
{
public:
    /// If the process has no free descriptor, waits end at their deadline only.
    Interrupt();
    ~Interrupt();
    Interrupt(const Interrupt &) = delete;
    Interrupt &operator=(const Interrupt &) = delete;

    /// Ends the waits. It can't be undone.
    void raise();

    /// Becomes readable with raise(); negative if there is none, which poll() ignores.
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
};

} // namespace shallotwalk
