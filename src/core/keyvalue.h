#pragma once

#include "core/storerevision.h"

#include <string>

namespace shallotwalk {

/// One key of the platform's key-value service.
struct KeyValue
{
    std::string key;
    std::string value;
    /// Store revision of its last change; its number is 0 for an absent key.
    StoreRevision modRevision;

    bool operator==(const KeyValue &) const = default;
};

} // namespace shallotwalk
