#include "core/departedreplicas.h"

namespace shallotwalk {

void DepartedReplicas::add(DepartedReplica replica)
{
    returned(replica.id);
    replicas_.push_back(std::move(replica));
}

void DepartedReplicas::returned(std::string_view id)
{
    std::erase_if(replicas_, [&](const auto &replica) { return replica.id == id; });
}

void DepartedReplicas::addUnknown(TimePoint now)
{
    add({{}, now, std::nullopt, {}});
}

void DepartedReplicas::primaryReported(Position position, TimePoint sentAt)
{
    for (auto &replica : replicas_) {
        if (!replica.limit && replica.since <= sentAt)
            replica.limit = position;
    }
}

void DepartedReplicas::replicaReported(std::string_view id, Position position)
{
    std::erase_if(replicas_, [&](const auto &replica) {
        const bool kept = replica.id == id && replica.received <= position && position.lsn > 0;
        return kept || (replica.limit && *replica.limit <= position);
    });
}

void DepartedReplicas::termChanged()
{
    std::erase_if(replicas_, [](const auto &replica) { return !replica.id.empty(); });
}

void DepartedReplicas::removeUnknownBefore(TimePoint limit)
{
    std::erase_if(replicas_,
                  [&](const auto &replica) { return replica.id.empty() && replica.since < limit; });
}

} // namespace shallotwalk
