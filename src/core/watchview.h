#pragma once

#include "core/feedmessage.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace shallotwalk {

/// The keys under a watched prefix as last reported. Merges reads and watch events so that no
/// subscriber gets an older revision of a key after a newer one. After a change of the store's era
/// the watch can't be continued; the prefix must be read again. Not thread-safe.
class WatchView
{
public:
    /// Takes a read of the whole prefix at the store revision \a revision. Returns the keys that
    /// differ from the view; a key that is gone has mod revision 0. Returns nothing when the read
    /// is older than the view: it must be repeated.
    std::optional<std::vector<KeyValue>> applyRead(std::span<const KeyValue> values,
                                                   StoreRevision revision);

    /// Takes the events of one watch message, in the order of the store. \a deleted tells for each
    /// change whether the key is gone. Returns the changes that the view doesn't include yet.
    /// \pre Both have the same size.
    std::vector<KeyValue> applyEvents(std::span<const KeyValue> changes,
                                      const std::vector<bool> &deleted);

    /// The same with each deletion marked in its change.
    std::vector<KeyValue> applyChanges(std::span<const FeedChange> changes);

    /// Tells that no key has changed between the last applied change and \a revision.
    void advanceTo(StoreRevision revision) { revision_ = std::max(revision_, revision); }

    /// Store revision up to which the view is complete; a watch continues after it.
    StoreRevision revision() const { return revision_; }

    /// All present keys.
    std::vector<KeyValue> values() const;

private:
    StoreRevision revision_;
    std::map<std::string, KeyValue, std::less<>> entries_;
};

} // namespace shallotwalk
