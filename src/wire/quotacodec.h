#pragma once

#include "core/failure.h"
#include "core/quotas/quotamessage.h"

#include <cstddef>
#include <span>
#include <string>
#include <variant>

namespace shallotwalk {

/// Longest datagram about quotas that is sent or read, in bytes.
inline constexpr std::size_t maxQuotaBytes = 2048;

using QuotaMessage = std::variant<QuotaRequest, QuotaReply>;

/// Encodes \a message as the payload of a datagram, in Thrift's compact protocol. Fails with
/// ErrorCode::BadRequest if it exceeds maxQuotaBytes. Thread-safe.
Result<std::string> encodeQuotaMessage(const QuotaMessage &message);

/// Decodes the payload of a datagram. Fails with ErrorCode::BadRequest if it is malformed, of
/// another version, or holds a time or count out of range. Memory is bounded by a multiple of the
/// payload's size. Thread-safe.
Result<QuotaMessage> decodeQuotaMessage(std::span<const char> payload);

} // namespace shallotwalk
