#include "core/ownerdirectory.h"

namespace shallotwalk {

bool OwnerDirectory::update(std::string_view database, Epoch epoch, std::string_view owner)
{
    const auto found = entries_.find(database);
    if (found == entries_.end()) {
        entries_.emplace(database, Entry{epoch, std::string(owner)});
        return true;
    }
    if (epoch <= found->second.epoch)
        return false;
    found->second = {epoch, std::string(owner)};
    return true;
}

const OwnerDirectory::Entry *OwnerDirectory::find(std::string_view database) const
{
    const auto found = entries_.find(database);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace shallotwalk
