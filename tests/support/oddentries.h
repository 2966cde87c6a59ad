#pragma once

#include <string>
#include <vector>

namespace shallotwalk {

/// The value of a database's entry in the store, as a faulty writer may leave it.
struct OddEntry
{
    std::string name;
    std::string value;
};

/// Values that name no database: nested deeply, with numbers out of range, with members missing or
/// of a wrong type, very long, or not JSON at all.
std::vector<OddEntry> oddServerEntries();

} // namespace shallotwalk
