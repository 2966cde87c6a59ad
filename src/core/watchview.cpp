#include "core/watchview.h"

#include <algorithm>

namespace shallotwalk {

std::optional<std::vector<KeyValue>> WatchView::applyRead(std::span<const KeyValue> values,
                                                          StoreRevision revision)
{
    if (revision < revision_)
        return std::nullopt;
    std::map<std::string, KeyValue, std::less<>> present;
    std::vector<KeyValue> changes;
    for (const auto &value : values) {
        const auto known = entries_.find(value.key);
        if (known == entries_.end() || known->second.modRevision != value.modRevision)
            changes.push_back(value);
        present.insert_or_assign(value.key, value);
    }
    for (const auto &[key, value] : entries_) {
        if (!present.contains(key))
            changes.push_back({key, {}, 0});
    }
    entries_ = std::move(present);
    revision_ = revision;
    return changes;
}

std::vector<KeyValue> WatchView::applyEvents(std::span<const KeyValue> changes,
                                             const std::vector<bool> &deleted)
{
    std::vector<KeyValue> applied;
    auto newest = revision_;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const auto &change = changes[i];
        // The mod revision of a deletion is that of the deletion itself.
        if (change.modRevision <= revision_)
            continue;
        newest = std::max(newest, change.modRevision);
        if (deleted[i]) {
            entries_.erase(change.key);
            applied.push_back({change.key, {}, 0});
        } else {
            entries_.insert_or_assign(change.key, change);
            applied.push_back(change);
        }
    }
    revision_ = newest;
    return applied;
}

std::vector<KeyValue> WatchView::applyChanges(std::span<const FeedChange> changes)
{
    std::vector<KeyValue> values;
    std::vector<bool> deleted;
    for (const auto &change : changes) {
        values.push_back(change.entry);
        deleted.push_back(change.deleted);
    }
    return applyEvents(values, deleted);
}

std::vector<KeyValue> WatchView::values() const
{
    std::vector<KeyValue> values;
    for (const auto &[key, value] : entries_)
        values.push_back(value);
    return values;
}

} // namespace shallotwalk
