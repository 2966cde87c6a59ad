#include "wire/controlcodec.h"

#include <limits>

namespace shallotwalk {

namespace {

peerwire::FeedCursor toWire(const FeedCursor &cursor)
{
    peerwire::FeedCursor wire;
    wire.log = static_cast<std::int64_t>(cursor.log);
    wire.revision = cursor.revision.number();
    wire.snapshotBase = cursor.snapshotBase.number();
    if (cursor.revision.era() != 0)
        wire.__set_era(cursor.revision.era());
    return wire;
}

FeedCursor fromWire(const peerwire::FeedCursor &wire)
{
    require(wire.revision >= 0 && wire.snapshotBase >= 0 && wire.era >= 0, "negative revision");
    FeedCursor cursor{static_cast<std::uint64_t>(wire.log), wire.revision, wire.snapshotBase};
    setEra(cursor, wire.era);
    return cursor;
}

peerwire::FeedPage toWire(const FeedPage &page)
{
    peerwire::FeedPage wire;
    for (const auto &change : page.changes) {
        if (change.deleted)
            wire.deletions.push_back(static_cast<std::int32_t>(wire.keys.size()));
        wire.keys.push_back(change.entry.key);
        wire.values.push_back(change.entry.value);
        wire.revisions.push_back(change.entry.modRevision.number());
    }
    wire.nextCursor = toWire(page.next);
    wire.snapshot = page.snapshot;
    return wire;
}

FeedPage fromWire(peerwire::FeedPage &wire)
{
    const auto count = wire.keys.size();
    require(wire.values.size() == count && wire.revisions.size() == count,
            "lists of a page differ in size");
    FeedPage page;
    page.changes.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        require(wire.revisions[i] > 0, "change without a revision");
        page.changes.push_back(
            {{std::move(wire.keys[i]), std::move(wire.values[i]), wire.revisions[i]}, false});
    }
    for (const auto index : wire.deletions) {
        require(index >= 0 && static_cast<std::size_t>(index) < count,
                "deletion outside of the page");
        page.changes[static_cast<std::size_t>(index)].deleted = true;
    }
    page.next = fromWire(wire.nextCursor);
    setEra(page, wire.nextCursor.era);
    page.snapshot = wire.snapshot;
    return page;
}

} // namespace

void require(bool condition, const char *reason)
{
    if (!condition)
        throw InvalidContent(reason);
}

peerwire::Membership toWire(const MembershipMessage &message)
{
    peerwire::Membership wire;
    wire.sequence = static_cast<std::int64_t>(message.sequence);
    wire.configurationVersion = static_cast<std::int64_t>(message.configurationVersion);
    if (!message.target.empty())
        wire.__set_target(message.target);
    if (message.fullState)
        wire.__set_fullState(true);
    for (const auto &update : message.updates) {
        auto &encoded = wire.updates[update.vm];
        encoded.host = update.host;
        encoded.port = update.port;
        encoded.dataCentre = update.dataCentre;
        encoded.state = static_cast<std::int32_t>(update.state);
        encoded.incarnation = static_cast<std::int64_t>(update.incarnation);
    }
    return wire;
}

MembershipMessage fromWire(peerwire::Membership &wire, MembershipKind kind)
{
    MembershipMessage message;
    message.kind = kind;
    message.sequence = static_cast<std::uint64_t>(wire.sequence);
    message.target = std::move(wire.target);
    message.fullState = wire.fullState;
    message.configurationVersion = static_cast<ConfigurationVersion>(wire.configurationVersion);
    message.updates.reserve(wire.updates.size());
    for (auto &[vm, update] : wire.updates) {
        require(update.state >= 0 && update.state <= static_cast<int>(MemberState::Dead)
                    && update.port >= 0 && update.port <= std::numeric_limits<std::uint16_t>::max(),
                "member update out of range");
        message.updates.push_back(
            {vm, std::move(update.host), static_cast<std::uint16_t>(update.port),
             std::move(update.dataCentre), static_cast<MemberState>(update.state),
             static_cast<std::uint64_t>(update.incarnation)});
    }
    return message;
}

peerwire::FeedRequest toWire(const FeedRequest &request)
{
    peerwire::FeedRequest wire;
    wire.id = static_cast<std::int64_t>(request.id);
    wire.records = toWire(request.records);
    wire.vms = toWire(request.vms);
    wire.hold = request.hold;
    wire.watchConnected = request.watchConnected;
    return wire;
}

FeedRequest fromWire(const peerwire::FeedRequest &wire)
{
    return {static_cast<std::uint64_t>(wire.id), fromWire(wire.records), fromWire(wire.vms),
            wire.hold, wire.watchConnected};
}

peerwire::FeedReply toWire(const FeedReply &reply)
{
    peerwire::FeedReply wire;
    wire.id = static_cast<std::int64_t>(reply.id);
    wire.answer = static_cast<std::int32_t>(reply.answer);
    wire.records = toWire(reply.records);
    wire.vms = toWire(reply.vms);
    return wire;
}

FeedReply fromWire(peerwire::FeedReply &wire)
{
    require(wire.answer >= 0 && wire.answer <= static_cast<int>(FeedAnswer::Refused),
            "unknown kind of answer");
    return {static_cast<std::uint64_t>(wire.id), static_cast<FeedAnswer>(wire.answer),
            fromWire(wire.records), fromWire(wire.vms)};
}

} // namespace shallotwalk
