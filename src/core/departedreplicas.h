#pragma once

#include "core/position.h"
#include "core/time.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// A replica that has left its group and may have confirmed commits that no other replica holds.
struct DepartedReplica
{
    std::string id; ///< Empty for all replicas that had left before this proxy knew the group.
    TimePoint since;
    /// The replica holds no acknowledged commit beyond it; empty while that isn't known.
    std::optional<Position> limit;
    Position received; ///< Last position that it reported.
};

/// The replicas that have left a group whose commits wait for replicas. A commit that only such a
/// replica has confirmed is known only by the position of the primary: what the primary reports
/// after the departure covers every commit that the replica can have confirmed. An entry is dropped
/// once a present replica holds that position. Not thread-safe.
class DepartedReplicas
{
public:
    /// Records a replica that has left, in place of an earlier departure of the same. It has a
    /// limit from the start if it had been paused, so that it could receive nothing more.
    void add(DepartedReplica replica);

    /// The replica \a id can be asked again, so that its own reports tell what it holds.
    void returned(std::string_view id);

    /// Records that replicas may have come and left unseen until \a now.
    void addUnknown(TimePoint now);

    /// The primary has reported that its log ended at \a position when it answered a question that
    /// was sent at \a sentAt.
    void primaryReported(Position position, TimePoint sentAt);

    /// The present replica \a id has reported that its log ends at \a position. A replica that has
    /// started again with its log holds what it held before.
    void replicaReported(std::string_view id, Position position);

    /// A primary of a newer term leads, so its log holds every commit that a replica had confirmed
    /// before. Replicas that weren't seen may have joined and left since.
    void termChanged();

    /// Removes the unknown replicas of before \a limit.
    void removeUnknownBefore(TimePoint limit);

    std::span<const DepartedReplica> replicas() const { return replicas_; }

private:
    std::vector<DepartedReplica> replicas_;
};

} // namespace shallotwalk
