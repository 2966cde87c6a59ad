#pragma once

#include "core/core.h"
#include "databases/backendspawner.h"
#include "wire/clock.h"
#include "wire/sqlconnection.h"

#include <caf/actor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace shallotwalk {

/// Which policies a database uses; the alternatives are the baselines of the measurements.
enum class AdmissionChoice { FairShare, Fifo };
enum class ReplicaChoice { PositionAware, RoundRobin, PrimaryOnly };

/// Settings of a database actor that don't come from the tables.
struct DatabaseSettings
{
    AdmissionChoice admission = AdmissionChoice::FairShare;
    ReplicaChoice replicas = ReplicaChoice::PositionAware;
    Duration transactionIdleLimit{std::chrono::seconds(30)};
    std::size_t openingLimit = 2;                 ///< Connections being opened at once.
    std::size_t resultBytes = defaultResultBytes; ///< Longest result of a statement.
};

/// What a database actor is started with.
struct DatabaseContext
{
    std::string vm; ///< This proxy.
    std::string pool;
    std::shared_ptr<const Tables> tables;
    Epoch epoch = 0;
    ConfirmationRecord confirmation;
    /// Set of a swap under the same epoch that was requested earlier and may still take effect.
    std::optional<ConfirmationRecord> requestedConfirmation;
    TimePoint leaseEnd;
    caf::actor ownership; ///< Takes ChangeConfirmation.
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<BackendSpawner> spawner;
    DatabaseSettings settings;
};

GroupSettings groupSettings(const Pool &pool);

/// Connections that are left for work beside one monitor for each server.
std::size_t workConnections(const Pool &pool);

ConnectionBudgetSettings budgetSettings(const Pool &pool, const DatabaseSettings &settings);

std::unique_ptr<AdmissionPolicy> makeAdmission(AdmissionChoice choice);
std::unique_ptr<ReplicaPolicy> makeReplicaPolicy(ReplicaChoice choice);

} // namespace shallotwalk
