#include "core/changelog.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Bytes that an entry takes besides its key and its value.
constexpr std::size_t entryOverhead = 16;

std::size_t bytesOf(const FeedChange &change)
{
    return change.entry.key.size() + change.entry.value.size() + entryOverhead;
}

} // namespace

ChangeLog::ChangeLog(std::uint64_t id)
    : id_(id)
{
}

void ChangeLog::reset(std::span<const KeyValue> values, StoreRevision revision)
{
    clear();
    loaded_ = true;
    revision_ = revision;
    completeFrom_ = revision;
    for (const auto &value : values)
        put({value, false});
}

void ChangeLog::apply(std::span<const FeedChange> changes, StoreRevision revision)
{
    for (const auto &change : changes) {
        put(change);
        revision_ = std::max(revision_, change.entry.modRevision);
    }
    revision_ = std::max(revision_, revision);
    limitDeletions();
}

void ChangeLog::clear()
{
    loaded_ = false;
    revision_ = {};
    completeFrom_ = {};
    entries_.clear();
    order_.clear();
    deletions_.clear();
}

void ChangeLog::put(const FeedChange &change)
{
    const auto &key = change.entry.key;
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        const auto known = found->second.entry.modRevision;
        if (change.entry.modRevision < known)
            return;
        order_.erase({known, key});
        deletions_.erase({known, key});
    }
    order_.emplace(change.entry.modRevision, key);
    if (change.deleted)
        deletions_.emplace(change.entry.modRevision, key);
    entries_.insert_or_assign(key, change);
}

void ChangeLog::limitDeletions()
{
    while (deletions_.size() > maxDeletions) {
        const auto oldest = *deletions_.begin();
        deletions_.erase(deletions_.begin());
        order_.erase(oldest);
        entries_.erase(oldest.second);
        completeFrom_ = std::max(completeFrom_, oldest.first);
    }
}

bool ChangeLog::continuesSnapshot(const FeedCursor &cursor) const
{
    return cursor.log == id_ && cursor.snapshotBase != StoreRevision()
           && cursor.snapshotBase == completeFrom_;
}

bool ChangeLog::isDelta(const FeedCursor &cursor) const
{
    return cursor.log == id_ && cursor.snapshotBase == StoreRevision()
           && cursor.revision >= completeFrom_;
}

bool ChangeLog::hasNews(const FeedCursor &cursor) const
{
    return loaded_ && (!isDelta(cursor) || cursor.revision < revision_);
}

FeedPage ChangeLog::page(const FeedCursor &cursor, std::size_t maxBytes) const
{
    FeedPage page;
    page.next = cursor;
    if (!hasNews(cursor))
        return page;
    const bool delta = isDelta(cursor);
    page.snapshot = !delta && !continuesSnapshot(cursor);
    auto place = page.snapshot ? order_.begin()
                               : order_.lower_bound(Place(cursor.revision.next(), std::string()));
    bool complete = true;
    std::size_t bytes = 0;
    while (place != order_.end()) {
        const auto revision = place->first;
        const auto end = order_.lower_bound(Place(revision.next(), std::string()));
        std::size_t groupBytes = 0;
        for (auto one = place; one != end; ++one)
            groupBytes += bytesOf(entries_.at(one->second));
        if (bytes > 0 && bytes + groupBytes > maxBytes) {
            complete = false;
            break;
        }
        bytes += groupBytes;
        for (; place != end; ++place)
            page.changes.push_back(entries_.at(place->second));
        page.next.revision = revision;
    }
    page.next.log = id_;
    page.next.snapshotBase = complete || delta ? StoreRevision() : completeFrom_;
    if (complete)
        page.next.revision = delta ? std::max(cursor.revision, revision_) : revision_;
    return page;
}

} // namespace shallotwalk
