#include "core/termhistory.h"

#include <algorithm>

namespace shallotwalk {

void TermHistory::add(std::span<const TermRow> rows)
{
    for (const auto &row : rows) {
        const auto [entry, inserted] = forks_.emplace(row.term, row.fork);
        if (!inserted)
            entry->second = std::min(entry->second, row.fork);
    }
}

SessionCheck TermHistory::check(Position sessionPosition, Term currentTerm) const
{
    using Outcome = SessionCheck::Outcome;
    if (sessionPosition.term == currentTerm)
        return {Outcome::Covered, sessionPosition};
    if (sessionPosition.term > currentTerm || !contains(currentTerm))
        return {Outcome::Unknown, {}};
    // A later fork can lie below an earlier one, because a term may begin on a server that never
    // received the term before it.
    LogPosition fork = sessionPosition.lsn;
    for (auto row = forks_.upper_bound(sessionPosition.term);
         row != forks_.end() && row->first <= currentTerm; ++row)
        fork = std::min(fork, row->second);
    return {fork == sessionPosition.lsn ? Outcome::Covered : Outcome::Lost, {currentTerm, fork}};
}

LogPosition TermHistory::fork(Term term) const
{
    const auto row = forks_.find(term);
    return row == forks_.end() ? 0 : row->second;
}

} // namespace shallotwalk
