#pragma once

#include "core/position.h"

#include <map>
#include <span>

namespace shallotwalk {

/// One row of shallotwalk_terms. An owner writes it on the primary each time it begins or resumes
/// service, so that the highest period among the servers identifies the primary that may have
/// acknowledged writes last.
struct TermRow
{
    Term term = 0;
    LogPosition fork = 0; ///< Position in the previous term at which this term begins.
    ServicePeriod period; ///< Latest period of service under the term.

    bool operator==(const TermRow &) const = default;
};

/// Result of comparing a session's position with the term history.
struct SessionCheck
{
    enum class Outcome {
        Covered, ///< \c position must be covered in the current term.
        Lost,    ///< The session saw data past a fork; it falls back to \c position.
        Unknown, ///< The history doesn't reach the session's term: refresh, don't serve.
    };
    Outcome outcome = Outcome::Unknown;
    Position position;
};

/// The fork points between the terms of one database group. Not thread-safe.
class TermHistory
{
public:
    /// Adds \a rows. Of two rows for one term the lower fork counts.
    void add(std::span<const TermRow> rows);

    /// Translates \a sessionPosition into \a currentTerm.
    SessionCheck check(Position sessionPosition, Term currentTerm) const;

    /// True if a row of \a term is known.
    bool contains(Term term) const { return forks_.count(term) != 0; }

    /// Fork position of \a term, 0 if unknown.
    LogPosition fork(Term term) const;

private:
    std::map<Term, LogPosition> forks_;
};

} // namespace shallotwalk
