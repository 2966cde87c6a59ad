#include "core/staleness/watermarksharing.h"

#include <algorithm>

namespace shallotwalk {

WatermarkSharing::WatermarkSharing(const WatermarkSharingSettings &settings)
    : settings_(settings)
{
}

bool WatermarkSharing::takeForSharing(TimePoint sentAt)
{
    if (sentAt - newestSharedAt_ < interval())
        return false;
    newestSharedAt_ = sentAt;
    return true;
}

void WatermarkSharing::heard(TimePoint sentAt)
{
    newestSharedAt_ = std::max(newestSharedAt_, sentAt);
}

Duration WatermarkSharing::interval() const
{
    return settings_.interval + settings_.stagger * static_cast<Duration::rep>(rank_);
}

} // namespace shallotwalk
