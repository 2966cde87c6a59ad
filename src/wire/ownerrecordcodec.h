#pragma once

#include "core/failure.h"
#include "core/ownerrecord.h"

#include <string>
#include <string_view>

namespace shallotwalk {

/// Prefix of the keys of owner records in the store; the pool's name follows.
inline constexpr std::string_view ownerKeyPrefix = "/shallotwalk/owners/";

/// Encodes a record as JSON. Thread-safe.
std::string encodeOwnerRecord(const OwnerRecord &record);

/// Inverse of encodeOwnerRecord(). Fails with ErrorCode::Internal. Thread-safe.
Result<OwnerRecord> decodeOwnerRecord(std::string_view text);

} // namespace shallotwalk
