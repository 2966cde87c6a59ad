#pragma once

#include "core/exchange/fleetmember.h"
#include "core/feedrole.h"
#include "core/feedview.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Times of a DirectorySource.
struct DirectorySourceSettings
{
    /// Times that let a configuration come into force within \a limit although the watcher of the
    /// store that is asked, or both watchers of the data centre, have just died or been cut off.
    static DirectorySourceSettings within(Duration limit);

    /// Longest time that the store may hold a watch without changes. Shorter than the limit, so
    /// that a watch on a connection that has fallen silent ends first.
    Duration watchWait{std::chrono::milliseconds(2000)};
    /// The same on a watcher with followers, which need time to turn to another source.
    Duration followedWatchWait{std::chrono::milliseconds(1000)};
    /// Time for which a watcher holds a request when it has nothing newer.
    Duration holdTime{std::chrono::milliseconds(1500)};
    FeedRoleSettings role;
};

/// A request to be sent to a watcher of the store.
struct SourceRequest
{
    FleetMember watcher;
    FeedRequest request;
    Duration timeout{0}; ///< Time for the answer to arrive.
};

/// Decides where this proxy learns of changes in the store: two proxies of each data centre watch
/// it, the others ask one of these. It answers the load of a large fleet, in which each change
/// would otherwise end a watch of every proxy. A proxy whose watchers don't answer, or have lost
/// their own watch, watches the store itself, so that at worst it does what each proxy does without
/// watchers. Changes that arrive from several sources are passed on once, in the order of the
/// store. Not thread-safe. Times must not decrease from call to call.
class DirectorySource
{
public:
    explicit DirectorySource(CandidateVm self, const DirectorySourceSettings &settings = {});

    /// Sets the proxies of the fleet, this one included. Those without an address can't be asked
    /// and are never watchers.
    void setMembers(std::span<const FleetMember> members, TimePoint now);

    /// This proxy has listed the whole store, as of \a revision. Returns the changes that are new,
    /// as in changed().
    std::vector<KeyValue> listed(std::span<const KeyValue> items, StoreRevision revision);

    /// This proxy's own watch has reported all changes up to \a revision. Returns those that are
    /// new; a deleted key has mod revision 0. \pre continuesAt(\a revision).
    std::vector<KeyValue> changed(std::span<const FeedChange> changes, StoreRevision revision);

    /// Returns whether the changes up to \a revision, which this proxy's watch has reported, follow
    /// those that are known. If the store has gone back to an older copy, they don't, and it must
    /// be listed again.
    bool continuesAt(StoreRevision revision) const
    {
        return revision.era() == view_.revision().era();
    }

    /// Returns the request to send now, if any. The next one follows after answered() or failed().
    std::optional<SourceRequest> takeRequest(TimePoint now);

    /// The reply of \a vm to the last request has arrived. Returns the changes that are new, as in
    /// changed().
    std::vector<KeyValue> answered(std::string_view vm, const FeedReply &reply, TimePoint now);

    /// The last request, to \a vm, has got no answer.
    void failed(std::string_view vm, TimePoint now);

    /// Does what is due at \a now.
    void tick(TimePoint now) { role_.tick(now); }

    /// Returns when tick() or takeRequest() has something to do.
    TimePoint nextDue() const { return role_.nextDue(); }

    /// Returns how long the store may hold this proxy's watch without changes.
    Duration watchWait() const;

    /// Returns whether this proxy must watch the store.
    bool watchesStore() const { return role_.watchesStore(); }

    FeedMode mode() const { return role_.mode(); }

    /// Returns the watcher that is asked; empty on a watcher.
    const std::string &watcher() const { return role_.source(); }

    /// Returns the store revision up to which the items are known.
    StoreRevision revision() const { return view_.revision(); }

    /// Returns all items of the store.
    std::vector<KeyValue> items() const { return view_.records(); }

private:
    DirectorySourceSettings settings_;
    std::string dataCentre_;
    FeedRole role_;
    FeedView view_;
    std::map<std::string, FleetMember, std::less<>> members_; ///< Those with an address.
    std::uint64_t lastRequest_ = 0;
    bool requestPending_ = false;
    bool hasFollowers_ = false;   ///< The data centre has more proxies than watchers.
    bool heardConnected_ = false; ///< State of the watcher's watch as last heard.
};

} // namespace shallotwalk
