#pragma once

#include "databases/messages.h"

#include "supervision/messages.h"
#include "wire/clock.h"
#include "wire/sqlconnection.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <string>

namespace shallotwalk {

/// Settings of one ServerMonitor.
struct ServerMonitorSettings
{
    std::string vm;
    std::string pool;
    SqlTarget target; ///< The application name follows from the pool and the epoch.
    Epoch epoch = 0;
    Duration interval{std::chrono::milliseconds(200)};
    /// As long as the interval, so that five samples of a server that doesn't answer fail within
    /// the 1,000 ms after which a primary counts as failed.
    Duration sampleTimeout{std::chrono::milliseconds(200)};
    Duration contactTime{std::chrono::milliseconds(1000)};
    Duration longestBackoff{std::chrono::milliseconds(1000)};
    Duration operationTimeout{std::chrono::seconds(2)}; ///< Of PromoteServer or RecordTerm.
};

/// Samples one backend server over a connection of its own, promotes it and prepares it for a new
/// owner. It must be spawned with caf::detached, because it blocks: up to twice the sample timeout
/// for a sample and up to the operation timeout for PromoteServer and RecordTerm, during which it
/// sends no samples. Before anything else each of its connections terminates those of lower epochs
/// on its server, so that a former owner's connections don't add to this owner's.
///
/// It sends a ServerSample for each interval and each SampleNow, also while the server is
/// unreachable. It quits normally on DrainRequest or the end of the database actor.
class ServerMonitor : public caf::event_based_actor
{
public:
    ServerMonitor(caf::actor_config &config, ServerMonitorSettings settings,
                  std::shared_ptr<SqlConnector> connector, std::shared_ptr<const Clock> clock,
                  caf::actor database);

    caf::behavior make_behavior() override;

private:
    void sample();
    void promote(const PromoteServer &order);
    void record(const TermRow &row);
    Result<void> connect(TimePoint deadline);
    void delayNextConnect(const std::string &reason);
    Result<ServerSample> trySample();
    Result<PromotionOutcome> tryPromote(const PromoteServer &order, TimePoint deadline);
    Result<std::vector<TermRow>> tryRecord(const TermRow &row, TimePoint deadline);
    Result<void> terminateFormerOwners(TimePoint deadline);
    StateDump dumpState() const;

    ServerMonitorSettings settings_;
    std::shared_ptr<SqlConnector> connector_;
    std::shared_ptr<const Clock> clock_;
    caf::actor database_;
    std::unique_ptr<SqlConnection> connection_;
    Duration backoff_{0};
    TimePoint nextConnect_;
    std::uint64_t samples_ = 0;
    std::string connectError_;
    std::string lastError_;
};

} // namespace shallotwalk
