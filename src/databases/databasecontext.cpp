#include "databases/databasecontext.h"

namespace shallotwalk {

GroupSettings groupSettings(const Pool &pool)
{
    GroupSettings settings;
    for (const auto &server : pool.servers)
        settings.servers.push_back(server.vm);
    settings.confirmReplicas = pool.confirmReplicas;
    return settings;
}

std::size_t workConnections(const Pool &pool)
{
    return pool.connectionLimit - pool.servers.size();
}

ConnectionBudgetSettings budgetSettings(const Pool &pool, const DatabaseSettings &settings)
{
    ConnectionBudgetSettings budget;
    budget.limit = workConnections(pool);
    budget.openingLimit = settings.openingLimit;
    return budget;
}

std::unique_ptr<AdmissionPolicy> makeAdmission(AdmissionChoice choice)
{
    if (choice == AdmissionChoice::Fifo)
        return std::make_unique<FifoPolicy>();
    return std::make_unique<FairSharePolicy>();
}

std::unique_ptr<ReplicaPolicy> makeReplicaPolicy(ReplicaChoice choice)
{
    switch (choice) {
    case ReplicaChoice::RoundRobin:
        return std::make_unique<RoundRobinPolicy>();
    case ReplicaChoice::PrimaryOnly:
        return std::make_unique<PrimaryOnlyPolicy>();
    case ReplicaChoice::PositionAware:
        break;
    }
    return std::make_unique<PositionAwarePolicy>();
}

} // namespace shallotwalk
