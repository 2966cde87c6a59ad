#include "core/servicetimes.h"

#include <algorithm>

namespace shallotwalk {

void ServiceTimes::record(Duration duration)
{
    sum_ += duration - samples_[next_];
    samples_[next_] = duration;
    next_ = (next_ + 1) % window;
    count_ = std::min(count_ + 1, window);
    if (count_ < window || next_ % updateInterval == 0)
        updateQuantiles();
}

Duration ServiceTimes::mean() const
{
    return count_ == 0 ? Duration::zero() : sum_ / static_cast<Duration::rep>(count_);
}

void ServiceTimes::updateQuantiles()
{
    auto sorted = samples_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    const auto at = [&](std::size_t rank) {
        const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
        std::nth_element(sorted.begin(), place, end);
        return *place;
    };
    median_ = at((count_ - 1) / 2);
    p90_ = at((count_ * 9 + 9) / 10 - 1);
}

} // namespace shallotwalk
