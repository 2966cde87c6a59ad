#pragma once

#include "core/time.h"

#include <cstddef>

namespace shallotwalk {

/// Times of WatermarkSharing.
struct WatermarkSharingSettings
{
    /// Time between two positions of a primary. A fraction of the staleness that routes allow.
    Duration interval{std::chrono::milliseconds(400)};
    /// Added to the interval for each rank, so that a proxy stands in for those of a lower rank
    /// only if these are silent.
    Duration stagger{std::chrono::milliseconds(100)};
};

/// Decides when this proxy asks the primary of a group for its position, and which positions it
/// passes on to the other proxies. All proxies need a recent position, but if each asked by itself,
/// the probes would grow with proxies times servers. The proxy of the lowest rank asks for all;
/// a proxy of a higher rank does so only after a longer time without a position. Not thread-safe.
class WatermarkSharing
{
public:
    explicit WatermarkSharing(const WatermarkSharingSettings &settings = {});

    /// Sets the rank of this proxy among those that ask; 0 is the lowest.
    void setRank(std::size_t rank) { rank_ = rank; }

    /// Whether the primary is to be asked at \a now, if the newest known position is of
    /// \a newestAt.
    bool probeDue(TimePoint newestAt, TimePoint now) const { return now - newestAt >= interval(); }

    /// Whether a position that the primary reported to this proxy is to be passed on. \a sentAt is
    /// the time of the question. If so, it counts as passed on.
    bool takeForSharing(TimePoint sentAt);

    /// Another proxy has passed on a position of \a sentAt.
    void heard(TimePoint sentAt);

private:
    Duration interval() const;

    WatermarkSharingSettings settings_;
    std::size_t rank_ = 0;
    TimePoint newestSharedAt_; ///< Of the positions that any proxy has passed on.
};

} // namespace shallotwalk
