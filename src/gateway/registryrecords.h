#pragma once

#include "core/directory.h"
#include "core/failure.h"

#include <string>
#include <string_view>
#include <utility>

namespace shallotwalk {

/// Prefixes of the keys that the proxies write to the platform's store.
inline constexpr std::string_view proxiesPrefix = "shallotwalk/proxies/";
inline constexpr std::string_view promotionsPrefix = "shallotwalk/promotions/";
inline constexpr std::string_view suspicionsPrefix = "shallotwalk/suspicions/";

/// Encodes the entry of a proxy in the store as JSON, without its name. Thread-safe.
std::string encodeFleetEntry(const FleetMember &member);

/// Decodes the entry of the proxy \a vm. An entry that names no valid address, such as one of an
/// older version, gives a member without an address. Thread-safe.
FleetMember decodeFleetEntry(std::string_view vm, std::string_view value);

/// Key under which proxy \a vm reports that it finds the primary of \a service unable to serve. The
/// value is the primary's id. Thread-safe.
std::string suspicionKey(std::string_view service, std::string_view vm);

/// Returns service and proxy of a key made by suspicionKey(), as views into \a key; both are empty
/// for any other key. Thread-safe.
std::pair<std::string_view, std::string_view> parseSuspicionKey(std::string_view key);

/// Encodes a PromotionRecord as JSON for the store. Its revision is left out, because the store
/// assigns it. Thread-safe.
std::string encodePromotion(const PromotionRecord &record);

/// Decodes \a value, made by encodePromotion(), of a key at \a revision. Fails with
/// ErrorCode::BadRequest. Thread-safe.
Result<PromotionRecord> decodePromotion(std::string_view value, StoreRevision revision);

} // namespace shallotwalk
