#pragma once

#include "core/feedmessage.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace shallotwalk {

/// The last change of each key, in order of revision, from which followers are brought up to date.
/// Deletions are remembered up to a limit; a follower that is behind the oldest remembered one
/// gets a snapshot, and so does one of an earlier era of the store. Not thread-safe.
class ChangeLog
{
public:
    /// Deletions that are remembered. One revision may delete all of them, and with keys of at most
    /// 100 bytes they fit into one reply.
    static constexpr std::size_t maxDeletions = 1000;

    /// \a id is part of each cursor. Logs whose revisions are comparable share an id.
    explicit ChangeLog(std::uint64_t id = 0);

    /// Takes all present keys as of \a revision and forgets the rest.
    void reset(std::span<const KeyValue> values, StoreRevision revision);

    /// Takes changes in their order; the log is then complete up to \a revision.
    void apply(std::span<const FeedChange> changes, StoreRevision revision);

    /// Forgets everything; the log is then not loaded.
    void clear();

    bool isLoaded() const { return loaded_; }
    StoreRevision revision() const { return revision_; }

    /// True if page() would carry anything for \a cursor.
    bool hasNews(const FeedCursor &cursor) const;

    /// What follows \a cursor, in revision order. Keys of one revision stay together, so a page
    /// exceeds \a maxBytes only if a single revision does.
    FeedPage page(const FeedCursor &cursor, std::size_t maxBytes) const;

private:
    /// Revision and key.
    using Place = std::pair<StoreRevision, std::string>;

    void put(const FeedChange &change);
    void limitDeletions();
    bool continuesSnapshot(const FeedCursor &cursor) const;
    bool isDelta(const FeedCursor &cursor) const;

    std::uint64_t id_;
    bool loaded_ = false;
    StoreRevision revision_;
    StoreRevision completeFrom_; ///< All later deletions are remembered.
    std::map<std::string, FeedChange, std::less<>> entries_;
    std::set<Place> order_;
    std::set<Place> deletions_;
};

} // namespace shallotwalk
