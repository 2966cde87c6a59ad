#pragma once

#include "core/admissionpolicy.h"
#include "core/failure.h"
#include "core/position.h"
#include "core/swapoutcome.h"
#include "core/termhistory.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace shallotwalk {

/// The confirmation set as the owner record holds it: an acknowledged write is held by at least
/// \c count of the \c members. Without members the set has never been written.
struct ConfirmationRecord
{
    std::vector<std::string> members; ///< Sorted VM names.
    std::uint32_t count = 0;

    bool operator==(const ConfirmationRecord &) const = default;
};

/// Orders pg_promote() on \c vm. The same SQL statement must test that the server is in recovery
/// and that its received term and position still equal \c expected, so that an order which is
/// delayed past the lease has no effect on a server that moved on.
struct PromoteServer
{
    std::uint64_t order = 0; ///< Matches promotionFinished() to the order.
    std::string vm;
    Position expected;
};

/// Closes all connections for work to \c vm; their unfinished writes may have run.
struct CloseConnections
{
    std::string vm;
    bool atOnce = false; ///< Does not let the requests in progress finish.
};

/// Samples \c vm at once, or all servers if it is empty.
struct SampleNow
{
    std::string vm;
};

/// Replaces the confirmation set in the owner record by compare-and-swap. After an unknown result
/// the same action is returned again; the swap must be repeated against the same revision.
struct SwapConfirmationSet
{
    ConfirmationRecord record;
};

/// The write may be acknowledged; \c position goes into the session.
struct Acknowledge
{
    WorkId id = 0;
    Position position;
};

/// The write must be answered with \c failure.
struct FailWrite
{
    WorkId id = 0;
    Failure failure;
};

/// Creates the tables of shallotwalk on \c vm if needed and commits \c row to shallotwalk_terms.
/// If the term has a row already, its fork stays and its period is raised, never lowered.
/// Answered by databasePrepared() with all rows of that table; repeated while it is unanswered.
struct PrepareDatabase
{
    std::string vm;
    TermRow row;
};

using GroupAction = std::variant<PromoteServer, CloseConnections, SampleNow, SwapConfirmationSet,
                                 Acknowledge, FailWrite, PrepareDatabase>;
using GroupActions = std::vector<GroupAction>;

/// Result of PromoteServer.
enum class PromotionOutcome {
    Ordered,  ///< The server accepted the order.
    Rejected, ///< The server answered that it did not and will not act on the order.
    Unknown,  ///< No answer: the order may still take effect.
};

} // namespace shallotwalk
