#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace shallotwalk {

/// A TCP link on the loopback range that a test disturbs from outside: connections to its port go
/// on to a target port. Thread-safe.
class FaultLink
{
public:
    enum class Mode {
        Pass,
        Silent,      ///< Bytes are held in both directions, connections stay open.
        CutToTarget, ///< Bytes towards the target are held.
        CutToSource, ///< Bytes from the target are held.
    };

    /// Throws std::runtime_error if no port can be had.
    explicit FaultLink(std::uint16_t target);
    ~FaultLink();
    FaultLink(const FaultLink &) = delete;
    FaultLink &operator=(const FaultLink &) = delete;

    std::uint16_t port() const { return port_; }

    /// Applies to the connections that are open now; new ones pass.
    void disturb(Mode mode);

    /// Delays all bytes by \a delay.
    void setDelay(std::chrono::milliseconds delay) { delay_ = delay; }

    /// Resets all open connections.
    void reset();

    /// Lets everything pass again. Connections that were disturbed stay silent.
    void heal() { delay_ = std::chrono::milliseconds(0); }

private:
    using Time = std::chrono::steady_clock::time_point;
    struct Direction
    {
        int from = -1;
        int to = -1;
        bool held = false;
        std::deque<std::pair<Time, std::string>> bytes; ///< With the time at which they are due.
    };
    struct Connection
    {
        Direction toTarget;
        Direction toSource;
        bool ended = false;
    };

    void run();
    void accept();
    bool read(Direction &direction);
    bool write(Direction &direction, Time now);
    static void close(Connection &connection, bool reset);

    std::uint16_t target_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<std::chrono::milliseconds> delay_{std::chrono::milliseconds(0)};
    std::atomic<bool> stop_ = false;
    std::mutex mutex_; ///< Guards connections_.
    std::list<Connection> connections_;
    std::thread thread_;
};

} // namespace shallotwalk
