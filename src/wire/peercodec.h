#pragma once

#include "core/failure.h"
#include "wire/peermessage.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Longest payload of a frame in bytes.
inline constexpr std::size_t maxPeerFrameBytes = 4UL * 1024 * 1024;

/// Bytes of the length in front of each payload.
inline constexpr std::size_t peerFrameHeaderBytes = 4;

/// Encodes \a message as a frame: 4-byte big-endian length and Thrift compact payload. A deadline
/// is written as the time that remains of it at \a now. Fails with ErrorCode::BadRequest, verdict
/// "did not run", if the payload exceeds maxPeerFrameBytes. Thread-safe.
Result<std::string> encodePeerFrame(const PeerMessage &message, TimePoint now);

/// Decodes the payload of one frame. Deadlines are set from \a now. Fails with
/// ErrorCode::BadRequest on malformed input. Memory is bounded by a multiple of the payload's
/// size. Thread-safe.
Result<PeerMessage> decodePeerPayload(std::span<const std::byte> payload, TimePoint now);

/// Looks for a complete frame at the start of \a input and returns its payload as a view, or
/// nothing if more bytes are needed. Fails with ErrorCode::BadRequest if the announced length
/// exceeds \a maxBytes. Thread-safe.
Result<std::optional<std::string_view>> findPeerFrame(std::string_view input,
                                                      std::size_t maxBytes = maxPeerFrameBytes);

} // namespace shallotwalk
