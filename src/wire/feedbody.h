#pragma once

#include "core/failure.h"
#include "core/feedmessage.h"

#include <string>
#include <string_view>

namespace shallotwalk {

/// Content type of the bodies below.
inline constexpr std::string_view feedContentType = "application/vnd.apache.thrift.compact";

/// Encodes a request to a watcher of the store, or its reply, as the body of an HTTP message: one
/// frame of the peers' protocol. Fails with ErrorCode::BadRequest if it exceeds maxPeerFrameBytes.
/// Thread-safe.
Result<std::string> encodeFeedBody(const FeedRequest &request);
Result<std::string> encodeFeedBody(const FeedReply &reply);

/// Both fail with ErrorCode::BadRequest if \a body isn't exactly one frame with such a message.
/// Memory is bounded by a multiple of the body's size. Thread-safe.
Result<FeedRequest> decodeFeedRequest(std::string_view body);
Result<FeedReply> decodeFeedReply(std::string_view body);

} // namespace shallotwalk
