#include "core/invalidentries.h"

namespace shallotwalk {

bool InvalidEntries::add(std::string_view key)
{
    return keys_.emplace(key).second;
}

void InvalidEntries::remove(std::string_view key)
{
    const auto found = keys_.find(key);
    if (found != keys_.end())
        keys_.erase(found);
}

} // namespace shallotwalk
