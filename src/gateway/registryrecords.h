#pragma once

#include "core/directory.h"
#include "core/failure.h"

#include <string>
#include <string_view>
#include <utility>

namespace shallotwalk {

/// Keys of this project in the platform's store.
inline constexpr std::string_view proxiesPrefix = "shallotwalk/proxies/";
inline constexpr std::string_view promotionsPrefix = "shallotwalk/promotions/";

inline constexpr std::string_view suspicionsPrefix = "shallotwalk/suspicions/";

/// Key of what proxy \a vm thinks of the primary of \a service. The value is the server's id.
std::string suspicionKey(std::string_view service, std::string_view vm);

/// Service and proxy of a key made by suspicionKey(); empty parts if it is none. Thread-safe.
std::pair<std::string_view, std::string_view> parseSuspicionKey(std::string_view key);

/// Value of the key of a PromotionRecord, without its revision.
std::string encodePromotion(const PromotionRecord &record);

/// Inverse of encodePromotion(). Fails with ErrorCode::BadRequest. Thread-safe.
Result<PromotionRecord> decodePromotion(std::string_view value, std::int64_t revision);

} // namespace shallotwalk
