#pragma once

#include "core/position.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwalk {

/// The owner of each database as far as this proxy knows. A higher epoch replaces a lower one, so
/// that late news can't bring back a former owner. Not thread-safe.
class OwnerDirectory
{
public:
    struct Entry
    {
        Epoch epoch = 0;
        std::string owner;
    };

    /// Records an owner; returns false if a higher epoch, or the same entry, is known already.
    bool update(std::string_view database, Epoch epoch, std::string_view owner);

    /// The known owner, or null. The pointer is valid until the next update().
    const Entry *find(std::string_view database) const;

    const std::map<std::string, Entry, std::less<>> &entries() const { return entries_; }

private:
    std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace shallotwalk
