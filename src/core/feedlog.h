#pragma once

#include "core/changelog.h"

#include <optional>

namespace shallotwalk {

/// What a watcher of the store passes on to its followers: owner records, the list of VMs and the
/// state of its watch. Not thread-safe.
class FeedLog
{
public:
    /// Limit of the keys and values in a reply; a larger difference continues in the next one.
    static constexpr std::size_t maxReplyBytes = std::size_t{256} * 1024;

    /// \a logId is unique for each run, because lists of VMs carry no version of their own.
    explicit FeedLog(std::uint64_t logId);

    /// All owner records as of the store's \a revision, when the watch has been established.
    void loadRecords(std::span<const KeyValue> values, StoreRevision revision);

    /// Changes of owner records in the store's order.
    void changeRecords(std::span<const FeedChange> changes, StoreRevision revision);

    /// The list of VMs as last read, one key for each VM.
    void updateVms(std::span<const KeyValue> vms);

    /// The state of the store watch.
    void setWatchConnected(bool connected) { watchConnected_ = connected; }

    /// Forgets everything, when this VM stops watching.
    void clear();

    /// The reply to \a request, or nothing if it is to be held because nothing is newer.
    std::optional<FeedReply> answer(const FeedRequest &request) const;

    /// The reply to a request whose hold time is over.
    FeedReply emptyAnswer(const FeedRequest &request) const;

    /// The reply of a VM that doesn't watch the store.
    static FeedReply refusal(const FeedRequest &request);

    StoreRevision revision() const { return records_.revision(); }

private:
    FeedAnswer state() const
    {
        return watchConnected_ ? FeedAnswer::Watching : FeedAnswer::WatchLost;
    }

    ChangeLog records_;
    ChangeLog vms_;
    std::map<std::string, std::string, std::less<>> lastVms_;
    bool watchConnected_ = false;
};

} // namespace shallotwalk
