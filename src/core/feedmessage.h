#pragma once

#include "core/keyvalue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotwalk {

/// A change of one key. \c entry.modRevision is the revision of the change, also for a deletion.
struct FeedChange
{
    KeyValue entry;
    bool deleted = false;

    bool operator==(const FeedChange &) const = default;
};

/// How far a follower has received a ChangeLog.
struct FeedCursor
{
    std::uint64_t log = 0; ///< Revisions of logs with different ids are not comparable.
    StoreRevision revision;
    StoreRevision snapshotBase; ///< Not StoreRevision() between the pages of a snapshot.

    bool operator==(const FeedCursor &) const = default;
};

/// Part of a ChangeLog: the changes after a cursor, or one page of a snapshot.
struct FeedPage
{
    std::vector<FeedChange> changes;
    FeedCursor next; ///< Cursor for the next request.
    /// Starts a snapshot. It replaces what the follower has once \c next is between no pages.
    bool snapshot = false;

    bool operator==(const FeedPage &) const = default;
};

/// Sets the era of a cursor from a proxy whose version doesn't know eras. Thread-safe.
void setEra(FeedCursor &cursor, std::int64_t era);

/// Sets the era of a page, with its changes, from a proxy whose version doesn't know eras.
/// Thread-safe.
void setEra(FeedPage &page, std::int64_t era);

/// Asks a watcher of the store for what is newer than the two cursors.
struct FeedRequest
{
    std::uint64_t id = 0;        ///< Returned in the reply.
    FeedCursor records;          ///< Owner records, by store revision.
    FeedCursor vms;              ///< List of VMs, by the watcher's own revisions.
    bool hold = false;           ///< Wait for something newer instead of answering at once.
    bool watchConnected = false; ///< State of the watcher's watch as last heard.
};

/// State of the sender of a reply.
enum class FeedAnswer {
    Watching,  ///< It watches the store.
    WatchLost, ///< It has lost its watch and tries to restore it; its state is the last known.
    Refused,   ///< It doesn't watch the store and passes nothing on.
};

/// Answer to the FeedRequest with the same id.
struct FeedReply
{
    std::uint64_t id = 0;
    FeedAnswer answer = FeedAnswer::Refused;
    FeedPage records;
    FeedPage vms;
};

} // namespace shallotwalk
