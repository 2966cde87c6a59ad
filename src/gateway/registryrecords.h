#pragma once

#include "core/directory.h"
#include "core/failure.h"

#include <string>
#include <string_view>

namespace shallotwalk {

/// Keys of this project in the platform's store.
inline constexpr std::string_view proxiesPrefix = "shallotwalk/proxies/";
inline constexpr std::string_view promotionsPrefix = "shallotwalk/promotions/";

/// Value of the key of a PromotionRecord, without its revision.
std::string encodePromotion(const PromotionRecord &record);

/// Inverse of encodePromotion(). Fails with ErrorCode::BadRequest. Thread-safe.
Result<PromotionRecord> decodePromotion(std::string_view value, std::int64_t revision);

} // namespace shallotwalk
