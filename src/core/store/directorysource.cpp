#include "core/store/directorysource.h"

#include "core/watcherselection.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Time for a held request to be answered beyond the hold time, within a data centre.
constexpr Duration answerMargin = std::chrono::milliseconds(400);

} // namespace

DirectorySourceSettings DirectorySourceSettings::within(Duration limit)
{
    DirectorySourceSettings settings;
    settings.watchWait = limit * 2 / 3;
    settings.followedWatchWait = limit / 3;
    settings.holdTime = limit / 4;
    settings.role.heldAnswerLimit = settings.holdTime + answerMargin;
    settings.role.answerLimit = limit / 8;
    settings.role.retryInterval = limit / 8;
    settings.role.directDelay = limit / 6;
    settings.role.lostWatchLimit = limit / 6;
    settings.role.watchUntilAnswered = false;
    return settings;
}

DirectorySource::DirectorySource(CandidateVm self, const DirectorySourceSettings &settings)
    : settings_(settings)
    , dataCentre_(self.dataCentre)
    , role_(std::move(self), settings.role)
{
}

void DirectorySource::setMembers(std::span<const FleetMember> members, TimePoint now)
{
    members_.clear();
    std::vector<CandidateVm> reachable;
    for (const auto &member : members) {
        if (member.host.empty())
            continue;
        members_.insert_or_assign(member.vm, member);
        reachable.push_back({member.vm, member.dataCentre});
    }
    const auto local =
        std::count_if(reachable.begin(), reachable.end(), [this](const CandidateVm &member) {
            return member.dataCentre == dataCentre_;
        });
    hasFollowers_ = static_cast<std::size_t>(local) > watchersPerDataCentre;
    role_.updateMembers(reachable, {}, now);
}

Duration DirectorySource::watchWait() const
{
    const bool followed = hasFollowers_ && role_.mode() == FeedMode::Watcher;
    return followed ? settings_.followedWatchWait : settings_.watchWait;
}

std::vector<KeyValue> DirectorySource::listed(std::span<const KeyValue> items,
                                              StoreRevision revision)
{
    return view_.loadRecords(items, revision);
}

std::vector<KeyValue> DirectorySource::changed(std::span<const FeedChange> changes,
                                               StoreRevision revision)
{
    auto news = view_.changeRecords(changes);
    view_.advanceRecords(revision);
    return news;
}

std::optional<SourceRequest> DirectorySource::takeRequest(TimePoint now)
{
    if (requestPending_)
        return std::nullopt;
    const auto ask = role_.takeAsk(now);
    if (!ask)
        return std::nullopt;
    const auto found = members_.find(ask->vm);
    if (found == members_.end())
        return std::nullopt;
    SourceRequest request;
    request.watcher = found->second;
    request.request.id = ++lastRequest_;
    request.request.records = view_.recordsCursor();
    request.request.hold = ask->hold;
    request.request.watchConnected = heardConnected_;
    request.timeout = ask->hold ? settings_.role.heldAnswerLimit : settings_.role.answerLimit;
    requestPending_ = true;
    return request;
}

std::vector<KeyValue> DirectorySource::answered(std::string_view vm, const FeedReply &reply,
                                                TimePoint now)
{
    requestPending_ = false;
    // Another watcher may have been chosen since; what this one tells holds all the same.
    if (vm == role_.source() && reply.answer != FeedAnswer::Refused)
        heardConnected_ = reply.answer == FeedAnswer::Watching;
    auto news = view_.take(reply).records;
    role_.answered(vm, reply.answer, now);
    return news;
}

void DirectorySource::failed(std::string_view vm, TimePoint now)
{
    requestPending_ = false;
    role_.connectionLost(vm, now);
}

} // namespace shallotwalk
