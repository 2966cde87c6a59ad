#pragma once

#include "core/exchange/exchangemessage.h"
#include "core/failure.h"

#include <cstddef>
#include <span>
#include <string>

namespace shallotwalk {

/// Longest datagram that is sent or read, in bytes.
inline constexpr std::size_t maxExchangeBytes = 2048;

/// Encodes \a message as the payload of a datagram, in Thrift's compact protocol. Fails with
/// ErrorCode::BadRequest if it exceeds maxExchangeBytes. Thread-safe.
Result<std::string> encodeExchangeMessage(const ExchangeMessage &message);

/// Decodes the payload of a datagram. Fails with ErrorCode::BadRequest if it is malformed, of
/// another version, or holds a time or position out of range. Memory is bounded by a multiple of
/// the payload's size. Thread-safe.
Result<ExchangeMessage> decodeExchangeMessage(std::span<const char> payload);

} // namespace shallotwalk
