#pragma once

#include "node/settings.h"

namespace shallotwalk {

/// Sets up the process-wide spdlog logger: lines to standard error as text or JSON, at most
/// five lines of one kind a second. Call it once before the actor system starts.
void configureLogging(const Settings &settings);

} // namespace shallotwalk
