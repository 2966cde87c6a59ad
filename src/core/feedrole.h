#pragma once

#include "core/candidateranking.h"
#include "core/feedmessage.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Where a VM gets owner records and the list of VMs from.
enum class FeedMode {
    Watcher,  ///< Watches the store for its data centre.
    Follower, ///< Asks a watcher.
    Direct,   ///< Watches the store because no watcher answers.
};

/// Times of FeedRole.
struct FeedRoleSettings
{
    /// A watcher holds a request for 10 s when it has nothing newer.
    Duration heldAnswerLimit{std::chrono::seconds(12)};
    /// For requests that aren't held: the first one to a watcher, and those after a failure.
    Duration answerLimit{std::chrono::seconds(2)};
    /// Between requests while the watchers fail.
    Duration retryInterval{std::chrono::seconds(1)};
    /// Time without a serving watcher before this VM watches the store itself. Membership finds a
    /// new watcher within 8 s; without this delay, all 200 VMs of a data centre would watch the
    /// store when both of its watchers fail.
    Duration directDelay{std::chrono::seconds(12)};
    /// Time for which a watcher that has lost its watch is avoided if the other has not.
    Duration lostWatchMemory{std::chrono::seconds(10)};
    /// Time without a watcher whose watch is established before this VM watches the store itself;
    /// empty: never, because the store is assumed to be away for all VMs alike.
    std::optional<Duration> lostWatchLimit;
    /// Whether a VM watches the store until a watcher has answered it for the first time.
    bool watchUntilAnswered = true;
};

/// A request to send.
struct FeedAsk
{
    std::string vm;
    bool hold = false;
};

/// Decides whether this VM watches the store or follows one of the two watchers of its data centre.
/// A VM that watches keeps doing so until a watcher has answered it. Not thread-safe.
class FeedRole
{
public:
    explicit FeedRole(CandidateVm self, const FeedRoleSettings &settings = {});

    /// Takes the live members (this VM included) and the leaving VMs. A leaving VM is a watcher
    /// only if all members of the data centre are leaving.
    void updateMembers(std::span<const CandidateVm> live, std::span<const std::string> leaving,
                       TimePoint now);

    /// A reply to the outstanding request came from \a vm; others are ignored.
    void answered(std::string_view vm, FeedAnswer answer, TimePoint now);

    /// The connection to \a vm has ended.
    void connectionLost(std::string_view vm, TimePoint now);

    /// Does what is due at \a now.
    void tick(TimePoint now);

    /// The request to send now, if any. It then counts as outstanding.
    std::optional<FeedAsk> takeAsk(TimePoint now);

    /// Next time at which tick() or takeAsk() has something to do.
    TimePoint nextDue() const;

    FeedMode mode() const { return mode_; }

    /// True if this VM must watch the store and poll the list of VMs.
    bool watchesStore() const { return watches_; }

    /// True if the last answer came from a watcher whose watch is established.
    bool isCurrent() const { return current_; }

    /// The watcher that is asked; empty on a watcher.
    const std::string &source() const { return source_; }

private:
    void follow(std::string source, TimePoint now);
    void fail(TimePoint now);
    TimePoint directDue() const;
    std::string other() const;
    bool hasLostWatch(const std::string &vm, TimePoint now) const;

    CandidateVm self_;
    FeedRoleSettings settings_;
    FeedMode mode_ = FeedMode::Watcher;
    bool watches_ = true;
    bool current_ = false;
    std::vector<std::string> watchers_; ///< Of this data centre, best-ranked first.
    std::string source_;
    bool hold_ = false; ///< The source has answered before.
    std::optional<TimePoint> askAt_;
    std::optional<TimePoint> answerDue_;
    std::optional<TimePoint> failingSince_;
    std::optional<TimePoint>
        lostSince_; ///< Since when the answering watchers have lost their watch.
    std::map<std::string, TimePoint, std::less<>> lostWatches_; ///< Until when.
};

} // namespace shallotwalk
