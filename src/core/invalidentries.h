#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Keys of the store whose value can't be decoded. An entry is usually written again at each
/// heartbeat, and is to be logged only once. Not thread-safe.
class InvalidEntries
{
public:
    /// Records that the value of \a key is invalid. Returns whether that is new.
    bool add(std::string_view key);

    /// Records that the value of \a key is valid, or that the key has been removed.
    void remove(std::string_view key);

    std::size_t size() const { return keys_.size(); }

private:
    std::set<std::string, std::less<>> keys_;
};

} // namespace shallotwalk
