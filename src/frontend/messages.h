#pragma once

#include "core/statement.h"
#include "supervision/messages.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <string>

namespace shallotwalk {

/// Asks the dispatcher to run a decoded request. The answer is a StatementReply with the routed
/// request, which comes at the latest shortly after the request's deadline.
struct DispatchStatement
{
    StatementRequest request;
};

/// Answer to DispatchStatement.
struct DispatchReply
{
    StatementRequest request; ///< With the route and the pool set, if there are any.
    StatementReply reply;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DispatchStatement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DispatchReply)
