#pragma once

#include "core/core.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace shallotwalk {

using namespace std::chrono_literals;

/// Events in simulated time.
class SimulatedTime
{
public:
    TimePoint now() const { return now_; }
    void after(Duration delay, std::function<void()> run);

    /// Runs all events up to \a end.
    void runUntil(TimePoint end);

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    TimePoint now_{std::chrono::seconds(1000)};
    std::uint64_t events_ = 0;
    std::priority_queue<Event> queue_;
};

/// Load and size of a FleetModel.
struct FleetModelSettings
{
    std::size_t proxies = 78;
    std::size_t connectionLimit = 58; ///< Of each server.
    std::size_t slots = 4;            ///< Of each server.
    double requestsPerSecond = 84;    ///< Of all proxies.
    double writeShare = 0.3;
    Duration handshake{std::chrono::milliseconds(12)};
    Duration work{std::chrono::milliseconds(11)}; ///< Mean time of a statement in a slot.
    Duration replicaLag{std::chrono::milliseconds(150)};
    /// Two thirds of the proxies are in other regions than a server.
    Duration nearDelay{std::chrono::microseconds(500)};
    Duration farDelay{std::chrono::milliseconds(8)};
    /// Delay until a shared watermark has reached the other proxies; zero: nothing is shared.
    Duration sharingDelay{std::chrono::milliseconds(120)};
    /// Connections to each server that a proxy is allotted.
    std::function<ConnectionAllotment(std::size_t limit, std::size_t proxies)> allot =
        allotConnections;
    std::size_t witnesses = 7; ///< Proxies that may replace the primary.
};

/// What the callers of one proxy, or of all, have got.
struct FleetModelOutcome
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t inTime = 0;      ///< Served within 300 ms.
    std::uint64_t refused = 0;     ///< Refused with the promise that nothing has run.
    std::uint64_t refusedLate = 0; ///< Refused after more than 75 ms.
    std::uint64_t otherErrors = 0;
};

/// A fleet of proxies, each with its own GroupScheduler, before one group of three servers that
/// limit the connections of all proxies together. It plays a load in simulated time, with one
/// random sequence for each seed.
class FleetModel
{
public:
    explicit FleetModel(FleetModelSettings settings, std::uint64_t seed = 1);
    ~FleetModel();

    /// Plays \a duration of the load.
    void run(Duration duration);

    FleetModelOutcome outcome() const;
    FleetModelOutcome outcome(std::size_t proxy) const;
    std::uint64_t openings() const { return openings_; }
    std::uint64_t refusedOpenings() const { return refusedOpenings_; }
    /// Statements that the server \a index has run.
    std::uint64_t statements(std::size_t index) const;
    /// Largest number of connections that server \a index had at once.
    std::size_t mostConnections(std::size_t index) const;
    /// Commands of the proxies themselves, not of a caller's request.
    std::uint64_t probes() const { return probes_; }

private:
    struct Server;
    class Proxy;

    void scheduleRequest();
    void tick(std::size_t proxy);
    void share(std::size_t from, Position position, TimePoint sentAt);
    Duration delay(std::size_t proxy, std::size_t server) const;
    double random();

    FleetModelSettings settings_;
    SimulatedTime time_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Server>> servers_; ///< The first is the primary.
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::uint64_t requests_ = 0;
    std::uint64_t openings_ = 0;
    std::uint64_t refusedOpenings_ = 0;
    std::uint64_t probes_ = 0;
    LogPosition position_ = 100;
    std::deque<std::pair<TimePoint, LogPosition>> commits_;
};

} // namespace shallotwalk
