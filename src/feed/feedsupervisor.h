#pragma once

#include "feed/feedactor.h"
#include "supervision/supervision.h"

#include <vector>

namespace shallotwalk {

/// Name of the feed supervisor's only child, as reported by ChildStarted.
inline constexpr std::string_view feedName = "feed";

/// The child of the feed supervisor. Subscriptions outlive its restarts.
std::vector<ChildSpecification> feedChildren(const FeedContext &context);

} // namespace shallotwalk
