#pragma once

#include "core/feedmessage.h"
#include "core/watchview.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace shallotwalk {

/// What a reply of a watcher has changed.
struct FeedNews
{
    std::vector<KeyValue> records; ///< Changed owner records; a deleted key has mod revision 0.
    bool vmsChanged = false;
};

/// The owner records and the list of VMs as this VM knows them, from its own watch and poll or from
/// a watcher. No source brings back an older revision of a record. Not thread-safe.
class FeedView
{
public:
    /// Takes the reply of a watcher to a request with the cursors below.
    FeedNews take(const FeedReply &reply);

    /// Takes all owner records as of \a revision, as read by this VM. A read that is older than the
    /// view changes nothing. Returns the keys that differ.
    std::vector<KeyValue> loadRecords(std::span<const KeyValue> values, StoreRevision revision);

    /// Takes changes that this VM's watch has reported; returns those that are new.
    std::vector<KeyValue> changeRecords(std::span<const FeedChange> changes);

    /// No record has changed between the last known change and \a revision.
    void advanceRecords(StoreRevision revision) { records_.advanceTo(revision); }

    /// Takes a list of VMs that this VM has read; returns whether it differs.
    bool loadVms(std::span<const KeyValue> vms);

    FeedCursor recordsCursor() const;
    const FeedCursor &vmsCursor() const { return vms_.cursor; }

    /// True once the owner records have been received completely.
    bool hasRecords() const { return records_.revision() != StoreRevision(); }
    StoreRevision revision() const { return records_.revision(); }
    std::vector<KeyValue> records() const { return records_.values(); }

    bool hasVms() const { return hasVms_; }
    /// The encoded list of VMs, by key.
    const std::map<std::string, std::string> &vms() const { return vmEntries_; }

private:
    using Entries = std::map<std::string, KeyValue>;

    /// Pages of a snapshot that isn't complete.
    struct Transfer
    {
        FeedCursor cursor;
        Entries pending;
        bool active = false;
    };

    static void collect(Transfer &transfer, const FeedPage &page);
    std::vector<KeyValue> takeRecords(FeedPage page);
    bool takeVms(const FeedPage &page);

    WatchView records_;
    Transfer snapshot_; ///< Of the owner records.
    std::map<std::string, std::string> vmEntries_;
    bool hasVms_ = false;
    Transfer vms_;
};

} // namespace shallotwalk
