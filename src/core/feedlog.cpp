#include "core/feedlog.h"

namespace shallotwalk {

FeedLog::FeedLog(std::uint64_t logId)
    : vms_(logId)
{
}

void FeedLog::loadRecords(std::span<const KeyValue> values, StoreRevision revision)
{
    records_.reset(values, revision);
}

void FeedLog::changeRecords(std::span<const FeedChange> changes, StoreRevision revision)
{
    records_.apply(changes, revision);
}

void FeedLog::updateVms(std::span<const KeyValue> vms)
{
    // One revision per changed VM, so that a page can end after any of them.
    auto revision = vms_.revision().number();
    if (!vms_.isLoaded())
        vms_.reset({}, ++revision);
    std::map<std::string, std::string, std::less<>> present;
    std::vector<FeedChange> changes;
    for (const auto &vm : vms) {
        const auto known = lastVms_.find(vm.key);
        if (known == lastVms_.end() || known->second != vm.value)
            changes.push_back({{vm.key, vm.value, ++revision}, false});
        present.insert_or_assign(vm.key, vm.value);
    }
    for (const auto &[key, value] : lastVms_) {
        if (!present.contains(key))
            changes.push_back({{key, {}, ++revision}, true});
    }
    lastVms_ = std::move(present);
    vms_.apply(changes, revision);
}

void FeedLog::clear()
{
    // The revisions of the list of VMs go on, because cursors with this log's id are in use.
    records_.clear();
    watchConnected_ = false;
}

std::optional<FeedReply> FeedLog::answer(const FeedRequest &request) const
{
    auto records = request.records;
    // A follower of a version before eras doesn't tell its own, which normally is the same.
    if (const auto era = records_.revision().era(); records.revision.era() == 0 && era != 0)
        setEra(records, era);
    const bool news = records_.hasNews(records) || vms_.hasNews(request.vms)
                      || request.watchConnected != watchConnected_;
    if (request.hold && !news)
        return std::nullopt;
    FeedReply reply = emptyAnswer(request);
    // Half of the limit each, so that neither waits for the other.
    reply.records = records_.page(records, maxReplyBytes / 2);
    reply.vms = vms_.page(request.vms, maxReplyBytes / 2);
    return reply;
}

FeedReply FeedLog::emptyAnswer(const FeedRequest &request) const
{
    FeedReply reply;
    reply.id = request.id;
    reply.answer = state();
    reply.records.next = request.records;
    reply.vms.next = request.vms;
    return reply;
}

FeedReply FeedLog::refusal(const FeedRequest &request)
{
    FeedReply reply;
    reply.id = request.id;
    reply.answer = FeedAnswer::Refused;
    reply.records.next = request.records;
    reply.vms.next = request.vms;
    return reply;
}

} // namespace shallotwalk
