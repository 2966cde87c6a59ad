#include "core/feedview.h"

namespace shallotwalk {

FeedNews FeedView::take(const FeedReply &reply)
{
    if (reply.answer == FeedAnswer::Refused)
        return {};
    FeedNews news;
    news.records = takeRecords(reply.records);
    news.vmsChanged = takeVms(reply.vms);
    return news;
}

void FeedView::collect(Transfer &transfer, const FeedPage &page)
{
    if (page.snapshot) {
        transfer.active = true;
        transfer.pending.clear();
    }
    transfer.cursor = page.next;
    if (!transfer.active)
        return;
    for (const auto &change : page.changes) {
        if (change.deleted)
            transfer.pending.erase(change.entry.key);
        else
            transfer.pending.insert_or_assign(change.entry.key, change.entry);
    }
}

std::vector<KeyValue> FeedView::takeRecords(FeedPage page)
{
    // A watcher of a version before eras doesn't tell its own, which normally is the same.
    if (const auto era = records_.revision().era(); page.next.revision.era() == 0 && era != 0)
        setEra(page, era);
    collect(snapshot_, page);
    if (!snapshot_.active) {
        auto changes = changeRecords(page.changes);
        records_.advanceTo(page.next.revision);
        return changes;
    }
    if (page.next.snapshotBase != StoreRevision())
        return {};
    std::vector<KeyValue> values;
    for (const auto &[key, value] : snapshot_.pending)
        values.push_back(value);
    return loadRecords(values, page.next.revision);
}

bool FeedView::takeVms(const FeedPage &page)
{
    collect(vms_, page);
    if (vms_.active) {
        if (page.next.snapshotBase != StoreRevision())
            return false;
        std::vector<KeyValue> vms;
        for (const auto &[key, value] : vms_.pending)
            vms.push_back(value);
        const auto cursor = vms_.cursor;
        const bool changed = loadVms(vms);
        vms_.cursor = cursor;
        return changed;
    }
    for (const auto &change : page.changes) {
        if (change.deleted)
            vmEntries_.erase(change.entry.key);
        else
            vmEntries_.insert_or_assign(change.entry.key, change.entry.value);
    }
    return !page.changes.empty();
}

std::vector<KeyValue> FeedView::loadRecords(std::span<const KeyValue> values,
                                            StoreRevision revision)
{
    snapshot_ = {};
    return records_.applyRead(values, revision).value_or(std::vector<KeyValue>{});
}

std::vector<KeyValue> FeedView::changeRecords(std::span<const FeedChange> changes)
{
    return records_.applyChanges(changes);
}

bool FeedView::loadVms(std::span<const KeyValue> vms)
{
    std::map<std::string, std::string> entries;
    for (const auto &vm : vms)
        entries.insert_or_assign(vm.key, vm.value);
    // A list that was read here is at no revision of a watcher's log.
    vms_ = {};
    const bool changed = !hasVms_ || entries != vmEntries_;
    hasVms_ = true;
    vmEntries_ = std::move(entries);
    return changed;
}

FeedCursor FeedView::recordsCursor() const
{
    return snapshot_.active ? snapshot_.cursor : FeedCursor{0, records_.revision(), {}};
}

} // namespace shallotwalk
