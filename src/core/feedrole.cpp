#include "core/feedrole.h"

#include "core/rendezvous.h"
#include "core/watcherselection.h"

#include <algorithm>
#include <iterator>

namespace shallotwalk {

FeedRole::FeedRole(CandidateVm self, const FeedRoleSettings &settings)
    : self_(std::move(self))
    , settings_(settings)
{
}

void FeedRole::updateMembers(std::span<const CandidateVm> live,
                             std::span<const std::string> leaving, TimePoint now)
{
    std::vector<CandidateVm> staying;
    std::copy_if(live.begin(), live.end(), std::back_inserter(staying), [&](const auto &member) {
        return std::find(leaving.begin(), leaving.end(), member.vm) == leaving.end();
    });
    watchers_ = selectWatchers(self_.dataCentre, staying);
    if (watchers_.empty())
        watchers_ = selectWatchers(self_.dataCentre, live);
    const bool isWatcher =
        watchers_.empty()
        || std::find(watchers_.begin(), watchers_.end(), self_.vm) != watchers_.end();
    if (isWatcher) {
        mode_ = FeedMode::Watcher;
        watches_ = true;
        current_ = false;
        source_.clear();
        askAt_.reset();
        answerDue_.reset();
        failingSince_.reset();
        lostSince_.reset();
        return;
    }
    const bool known = std::find(watchers_.begin(), watchers_.end(), source_) != watchers_.end();
    if (mode_ == FeedMode::Watcher) {
        mode_ = FeedMode::Follower;
        watches_ = settings_.watchUntilAnswered;
    }
    if (!known)
        follow(watchers_[rendezvousWeight("feed", self_.vm) % watchers_.size()], now);
}

void FeedRole::follow(std::string source, TimePoint now)
{
    source_ = std::move(source);
    hold_ = false;
    answerDue_.reset();
    askAt_ = now;
    // Counts from the first request, not from the first time-out.
    if (!current_ && !failingSince_)
        failingSince_ = now;
}

void FeedRole::answered(std::string_view vm, FeedAnswer answer, TimePoint now)
{
    if (mode_ == FeedMode::Watcher || vm != source_ || !answerDue_)
        return;
    answerDue_.reset();
    if (answer == FeedAnswer::Refused) {
        fail(now);
        return;
    }
    failingSince_.reset();
    askAt_ = now;
    hold_ = true;
    current_ = answer == FeedAnswer::Watching;
    if (current_) {
        lostWatches_.erase(source_);
        lostSince_.reset();
        mode_ = FeedMode::Follower;
        watches_ = false;
        return;
    }
    if (!lostSince_)
        lostSince_ = now;
    // Both may have lost their watch in an outage of the store; then there is nothing to gain by
    // asking the other one more often, or by watching.
    lostWatches_.insert_or_assign(source_, now + settings_.lostWatchMemory);
    if (const auto alternative = other(); !alternative.empty() && !hasLostWatch(alternative, now))
        follow(alternative, now);
}

void FeedRole::connectionLost(std::string_view vm, TimePoint now)
{
    if (mode_ != FeedMode::Watcher && vm == source_ && answerDue_)
        fail(now);
}

/// Turns to the other watcher, at once after the first failure.
void FeedRole::fail(TimePoint now)
{
    const bool first = current_ || !failingSince_;
    current_ = false;
    if (!failingSince_)
        failingSince_ = now;
    const auto alternative = other();
    follow(alternative.empty() ? source_ : alternative, now);
    if (!first)
        askAt_ = now + settings_.retryInterval;
}

void FeedRole::tick(TimePoint now)
{
    if (mode_ == FeedMode::Watcher)
        return;
    if (answerDue_ && now >= *answerDue_)
        fail(now);
    if (now >= directDue()) {
        mode_ = FeedMode::Direct;
        watches_ = true;
    }
}

std::optional<FeedAsk> FeedRole::takeAsk(TimePoint now)
{
    if (!askAt_ || now < *askAt_ || source_.empty())
        return std::nullopt;
    askAt_.reset();
    answerDue_ = now + (hold_ ? settings_.heldAnswerLimit : settings_.answerLimit);
    return FeedAsk{source_, hold_};
}

TimePoint FeedRole::nextDue() const
{
    auto due = TimePoint::max();
    if (askAt_)
        due = std::min(due, *askAt_);
    if (answerDue_)
        due = std::min(due, *answerDue_);
    return std::min(due, directDue());
}

/// When a follower begins to watch the store itself unless a watcher answers.
TimePoint FeedRole::directDue() const
{
    auto due = TimePoint::max();
    if (mode_ != FeedMode::Follower)
        return due;
    if (failingSince_)
        due = *failingSince_ + settings_.directDelay;
    if (lostSince_ && settings_.lostWatchLimit)
        due = std::min(due, *lostSince_ + *settings_.lostWatchLimit);
    return due;
}

std::string FeedRole::other() const
{
    const auto found = std::find_if(watchers_.begin(), watchers_.end(),
                                    [this](const auto &vm) { return vm != source_; });
    return found == watchers_.end() ? std::string() : *found;
}

bool FeedRole::hasLostWatch(const std::string &vm, TimePoint now) const
{
    const auto found = lostWatches_.find(vm);
    return found != lostWatches_.end() && now < found->second;
}

} // namespace shallotwalk
