#pragma once

#include "core/grouprequest.h"

namespace shallotwalk {

/// The outcome of \a request if its group has ended without an answer. The connections of the group
/// end with it, so that the servers roll back what is open; only a commit or a single write may
/// have taken effect. Thread-safe.
GroupAnswer outcomeOfLostRequest(const GroupRequest &request);

} // namespace shallotwalk
