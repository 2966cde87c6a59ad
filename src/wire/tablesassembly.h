#pragma once

#include "wire/tablescodec.h"

#include <map>
#include <memory>
#include <span>
#include <string>

namespace shallotwalk {

/// Builds the tables of a head from its parts and keeps the decoded rows, so that the next version
/// decodes and checks only the parts that have changed. Not thread-safe.
class TablesAssembly
{
public:
    /// The tables of \a head. Fails unless \a parts are those that it names and the tables are
    /// valid; what is kept then stays as it was.
    Result<Tables> assemble(const TablesHead &head, std::span<const TablesPart> parts);

private:
    using Rows = std::shared_ptr<const Tables>;

    /// By content hash, of the last assembled head.
    std::map<std::string, Rows, std::less<>> decoded_;
};

} // namespace shallotwalk
