#pragma once

#include "node/settings.h"

namespace shallotwalk {

/// Tries to bind each listening address, so that an address in use ends the program with a clear
/// message instead of restarts of the listener. Fails with ErrorCode::BadRequest and one line for
/// each address that can't be bound. Thread-safe.
Result<void> checkListenAddresses(const Settings &settings);

} // namespace shallotwalk
