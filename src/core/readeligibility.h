#pragma once

#include "core/replicapolicy.h"

namespace shallotwalk {

/// Whether the replica \a server may serve a read with \a requirement: it is reachable, not
/// leaving, of the current term, sampled recently, has replayed the position and is within the
/// staleness bound. Thread-safe.
bool mayServeRead(const ServerStatus &server, const ReadRequirement &requirement, TimePoint now);

} // namespace shallotwalk
