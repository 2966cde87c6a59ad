#pragma once

#include "core/storerevision.h"

#include <ostream>

namespace shallotwalk {

/// Prints a revision in messages of Boost.Test.
inline std::ostream &operator<<(std::ostream &stream, StoreRevision revision)
{
    return stream << toString(revision);
}

} // namespace shallotwalk
