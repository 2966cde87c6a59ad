#pragma once

#include "core/ownerrecord.h"
#include "core/promise.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace shallotwalk {

/// Write \c record if the stored one still has \c expectedRevision (0: there is none). Answer with
/// OwnershipMachine::swapAnswered().
struct SwapRecord
{
    std::uint64_t id = 0; ///< Matches the answer to the swap.
    OwnerRecord record;
    std::int64_t expectedRevision = 0;
};

/// Read the record from the store itself, not from a cache. Answer with
/// OwnershipMachine::recordSeen() and RecordSource::StoreRead, or with nothing on failure.
struct ReadRecord
{
};

/// Send \c request to the proxy on \c vm, or to the local PromiseTable if that is this proxy.
struct AskPromise
{
    std::string vm;
    PromiseRequest request;
};

/// This proxy serves the database from now on, while OwnershipMachine::mayServe() holds.
struct BeginServing
{
    Epoch epoch = 0;
};

/// Why a proxy stops serving a database.
enum class StopReason {
    LeaseExpired,
    Superseded, ///< The record names another owner or a higher epoch.
    Drained,
};

/// This proxy serves the database no more.
struct StopServing
{
    Epoch epoch = 0;
    StopReason reason = StopReason::LeaseExpired;
};

using OwnershipAction = std::variant<SwapRecord, ReadRecord, AskPromise, BeginServing, StopServing>;
using OwnershipActions = std::vector<OwnershipAction>;

} // namespace shallotwalk
