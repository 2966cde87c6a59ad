#include "core/feedmessage.h"

namespace shallotwalk {

void setEra(FeedCursor &cursor, std::int64_t era)
{
    cursor.revision = {cursor.revision.number(), era};
    if (cursor.snapshotBase != StoreRevision())
        cursor.snapshotBase = {cursor.snapshotBase.number(), era};
}

void setEra(FeedPage &page, std::int64_t era)
{
    setEra(page.next, era);
    for (auto &change : page.changes)
        change.entry.modRevision = {change.entry.modRevision.number(), era};
}

} // namespace shallotwalk
