#pragma once

#include "gateway/platformfleet.h"
#include "soak/history.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace shallotwalk::soak {

/// Disturbs a fleet from outside, in an order drawn from a seed: signals to proxies, links that are
/// delayed, reset, cut or silent, and databases and a store that fail. Faults overlap. Not
/// thread-safe.
class FaultDriver
{
public:
    /// \a clientLinks lead to the proxies, in their order.
    FaultDriver(unsigned seed, test::PlatformFleet &fleet,
                std::vector<std::unique_ptr<FaultLink>> &clientLinks, History &history);

    /// Injects faults for \a duration, then ends all of them.
    void run(std::chrono::milliseconds duration);

    /// Faults by name.
    const std::map<std::string, unsigned> &counts() const { return counts_; }

private:
    using Time = std::chrono::steady_clock::time_point;

    void inject();
    void injectAtProxy(std::size_t proxy, std::chrono::milliseconds duration);
    void injectAtLinks(std::size_t proxy, std::chrono::milliseconds duration);
    void injectAtDatabases(std::chrono::milliseconds duration);
    void loseAnswer(const std::string &id, std::chrono::milliseconds duration);
    void injectAtStore(std::chrono::milliseconds duration);
    void endLater(std::chrono::milliseconds after, std::function<void()> end);
    void endDue(bool all);
    /// A proxy that nobody has ended must run.
    void checkProcesses();

    std::mt19937 random_;
    std::mt19937 lossRandom_; ///< Draws how answers are lost.
    test::PlatformFleet &fleet_;
    std::vector<std::unique_ptr<FaultLink>> &clientLinks_;
    History &history_;
    std::multimap<Time, std::function<void()>> ends_;
    std::vector<bool> disturbed_; ///< Proxies that a signal was sent to.
    bool databaseDisturbed_ = false;
    int version_ = 1;
    std::map<std::string, unsigned> counts_;
};

} // namespace shallotwalk::soak
