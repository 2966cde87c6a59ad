#include "core/failure.h"

#include <array>

namespace shallotwalk {

namespace {

constexpr std::array<std::string_view, 22> codeNames = {
    "bad_request",
    "no_route",
    "request_key_required",
    "request_key_conflict",
    "request_key_expired",
    "queue_full",
    "deadline_exceeded",
    "not_owner",
    "no_owner",
    "no_primary",
    "no_server",
    "session_state_lost",
    "session_state_invalid",
    "transaction_unknown",
    "transaction_aborted",
    "connection_lost",
    "unconfirmed",
    "superseded",
    "statement_error",
    "draining",
    "peer_unreachable",
    "internal",
};
static_assert(codeNames.size() == static_cast<std::size_t>(ErrorCode::Internal) + 1);

} // namespace

std::string_view toString(ErrorCode code)
{
    return codeNames.at(static_cast<std::size_t>(code));
}

} // namespace shallotwalk
