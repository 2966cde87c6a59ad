#pragma once

#include "httpserver/httpservice.h"

#include <caf/actor.hpp>

#include <span>

namespace shallotwalk {

/// Asks \a sources for their metrics on behalf of \a connection and responds with one text. A
/// source that doesn't answer, for example while it restarts, only leaves its own metrics out;
/// without any the body is empty. Must be called on the connection's thread.
void collectMetrics(std::span<const caf::actor> sources, caf::io::broker &connection,
                    HttpService::Respond respond);

} // namespace shallotwalk
