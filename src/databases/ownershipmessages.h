#pragma once

#include "core/groupactions.h"
#include "core/ownerrecord.h"
#include "core/position.h"
#include "core/tables.h"
#include "core/time.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// Tells the actor of a database that the lease holds until \c leaseEnd.
struct LeaseExtended
{
    TimePoint leaseEnd;
};

/// Tells the actor of a database that the lease has ended: it acknowledges nothing more and quits.
struct LeaseEnded
{
};

/// Asks the ownership actor to write another confirmation set into the owner record. It is
/// answered by ConfirmationRecorded.
struct ChangeConfirmation
{
    ConfirmationRecord record;
};

/// Answer to ChangeConfirmation, with the set that the owner record holds if it is known.
struct ConfirmationRecorded
{
    SwapOutcome outcome = SwapOutcome::Unknown;
    ConfirmationRecord requested;
    std::optional<ConfirmationRecord> current;
};

/// An owner record that a watch or a peer reported.
struct OwnerRecordNotice
{
    OwnerRecord record;
    std::int64_t revision = 0; ///< Store revision of the record's last change.
};

/// Tells the owner of the promise table that a record was read from the store itself.
struct RecordRead
{
    std::string pool;
    Epoch epoch = 0; ///< 0: there is no record.
};

/// Servers that are leaving, from the platform's list of VMs.
struct LeavingChanged
{
    std::vector<std::string> vms;
};

/// The pool of a database, or the routes to it, have changed.
struct PoolChanged
{
    std::shared_ptr<const Tables> tables;
};

/// The live members that aren't leaving, by their rank for one database.
struct RankingChanged
{
    std::vector<std::string> ranking;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::LeaseExtended)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::LeaseEnded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ChangeConfirmation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConfirmationRecorded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::OwnerRecordNotice)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RecordRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::LeavingChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PoolChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RankingChanged)
