#pragma once

#include <caf/allowed_unsafe_message_type.hpp>

namespace shallotwalk {

/// Tells a listener to announce the end of each connection in its responses.
struct AnnounceClose
{
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::AnnounceClose)
