#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// A live member that may become a candidate of a database.
struct CandidateVm
{
    std::string vm;
    std::string dataCentre;
};

/// The \a count best candidates for \a database by rendezvous hashing, best first. A data centre
/// gets a further candidate only when all others have as many. The order of \a members doesn't
/// matter, and a change of one member moves few databases. Thread-safe.
std::vector<std::string> rankCandidates(std::string_view database,
                                        std::span<const CandidateVm> members, std::size_t count);

} // namespace shallotwalk
