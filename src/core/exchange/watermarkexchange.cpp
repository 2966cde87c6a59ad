#include "core/exchange/watermarkexchange.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace shallotwalk {

namespace {

/// Bytes of a watermark in a message besides the name of its group, at most.
constexpr std::size_t watermarkBytes = 41;

} // namespace

WatermarkExchange::WatermarkExchange(FleetMember self, std::uint64_t incarnation,
                                     const WatermarkExchangeSettings &settings)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , settings_(settings)
{
}

void WatermarkExchange::setMembers(std::span<const FleetMember> members)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>, std::less<>> ranked;
    std::map<std::string, Peer, std::less<>> peers;
    for (const auto &member : members) {
        if (member.host.empty())
            continue;
        ranked[member.dataCentre].emplace_back(rendezvousWeight(member.dataCentre, member.vm),
                                               member.vm);
        if (member.vm == self_.vm)
            continue;
        // What is known of the clock of a member that has kept its address stays valid.
        const auto known = peers_.find(member.vm);
        auto &peer = peers[member.vm];
        if (known != peers_.end() && known->second.member == member)
            peer = std::move(known->second);
        peer.member = member;
    }
    peers_ = std::move(peers);
    relays_.clear();
    for (auto &[dataCentre, weights] : ranked) {
        std::sort(weights.rbegin(), weights.rend());
        weights.resize(std::min(weights.size(), settings_.relaysPerDataCentre));
        for (auto &[weight, vm] : weights)
            relays_[dataCentre].push_back(std::move(vm));
    }
}

const FleetMember *WatermarkExchange::member(std::string_view vm) const
{
    const auto found = peers_.find(vm);
    return found == peers_.end() ? nullptr : &found->second.member;
}

bool WatermarkExchange::isRelay(const FleetMember &member) const
{
    const auto found = relays_.find(member.dataCentre);
    return found != relays_.end()
           && std::find(found->second.begin(), found->second.end(), member.vm)
                  != found->second.end();
}

void WatermarkExchange::observed(const SharedWatermark &watermark)
{
    // A relay passes its own watermarks on within its data centre as well.
    take(watermark, {}, true, isRelay());
}

bool WatermarkExchange::take(const SharedWatermark &watermark, std::string_view source,
                             bool forRelays, bool forDataCentre)
{
    const auto found = known_.find(watermark.service);
    if (found == known_.end() && known_.size() >= settings_.maxServices)
        return false;
    auto &known = known_[watermark.service];
    const bool olderTerm = watermark.position.term < known.position.term;
    const bool sameTerm = watermark.position.term == known.position.term;
    const auto acknowledged = std::max(known.acknowledged, watermark.acknowledged);
    if (olderTerm || (sameTerm && watermark.sentAt <= known.sentAt)) {
        if (acknowledged == known.acknowledged)
            return false;
        known.acknowledged = acknowledged;
        known.source = source;
        known.forRelays = known.forRelays || forRelays;
        known.forDataCentre = known.forDataCentre || forDataCentre;
        return true;
    }
    known = {watermark.position,  watermark.sentAt, acknowledged,
             std::string(source), forRelays,        forDataCentre};
    return true;
}

std::vector<SharedWatermark> WatermarkExchange::receive(const ExchangeMessage &message,
                                                        TimePoint now)
{
    const auto found = peers_.find(message.sender);
    if (found == peers_.end()) {
        ++counters_.foreign;
        return {};
    }
    ++counters_.received;
    auto &peer = found->second;
    if (message.echo)
        peer.clock.answered(message.incarnation, *message.echo, now);
    if (message.probe)
        peer.owedEcho = ClockEcho{*message.probe, now};
    peer.hasSentWatermarks = peer.hasSentWatermarks || !message.watermarks.empty();
    std::vector<SharedWatermark> taken;
    for (const auto &watermark : message.watermarks) {
        const auto sentAt = peer.clock.toLocal(message.incarnation, watermark.sentAt, now);
        // A time to come can only be an error of the sender.
        SharedWatermark local = watermark;
        if (sentAt && *sentAt <= now) {
            local.sentAt = *sentAt;
        } else {
            ++counters_.undated;
            if (watermark.acknowledged == Position())
                continue;
            // That a commit was acknowledged is true without a time: the log reached it at some.
            local.position = watermark.acknowledged;
            local.sentAt = TimePoint();
        }
        if (take(local, message.sender, false, !message.relayed && isRelay()))
            taken.push_back(local);
    }
    counters_.taken += taken.size();
    return taken;
}

bool WatermarkExchange::hasUnsent() const
{
    return std::any_of(known_.begin(), known_.end(), [](const auto &entry) {
        return entry.second.forRelays || entry.second.forDataCentre;
    });
}

ExchangeSend WatermarkExchange::emptyMessage(const FleetMember &member) const
{
    ExchangeSend send{member.vm, member.host, member.port, {}};
    send.message.sender = self_.vm;
    send.message.incarnation = incarnation_;
    return send;
}

void WatermarkExchange::addWatermarks(const FleetMember &member,
                                      std::span<const SharedWatermark> watermarks, bool relayed,
                                      std::vector<ExchangeSend> &sends) const
{
    std::size_t bytes = 0;
    bool open = false; // Whether the last message of sends may take more.
    for (const auto &watermark : watermarks) {
        const auto size = watermark.service.size() + watermarkBytes;
        if (!open || bytes + size > settings_.maxWatermarkBytes) {
            sends.push_back(emptyMessage(member));
            sends.back().message.relayed = relayed;
            bytes = 0;
            open = true;
        }
        bytes += size;
        sends.back().message.watermarks.push_back(watermark);
    }
}

void WatermarkExchange::sendUnsent(std::vector<ExchangeSend> &sends)
{
    std::vector<SharedWatermark> forRelays;
    std::map<std::string, std::vector<SharedWatermark>, std::less<>> forDataCentre; // By source.
    for (auto &[service, known] : known_) {
        const SharedWatermark watermark{service, known.position, known.sentAt, known.acknowledged};
        if (std::exchange(known.forRelays, false))
            forRelays.push_back(watermark);
        if (std::exchange(known.forDataCentre, false))
            forDataCentre[known.source].push_back(watermark);
    }
    for (const auto &[vm, peer] : peers_) {
        const bool local = peer.member.dataCentre == self_.dataCentre;
        std::vector<SharedWatermark> relayed;
        if (local) {
            for (const auto &[source, watermarks] : forDataCentre) {
                if (source != vm)
                    relayed.insert(relayed.end(), watermarks.begin(), watermarks.end());
            }
        }
        addWatermarks(peer.member, relayed, true, sends);
        // What a relay of its own data centre has observed goes to each member of that anyway.
        if (isRelay(peer.member) && !(local && isRelay()))
            addWatermarks(peer.member, forRelays, false, sends);
    }
}

std::vector<ExchangeSend> WatermarkExchange::tick(TimePoint now)
{
    std::vector<ExchangeSend> sends;
    if (now - lastBatchAt_ >= settings_.batchInterval && hasUnsent()) {
        lastBatchAt_ = now;
        sendUnsent(sends);
    }
    for (auto &[vm, peer] : peers_) {
        const bool probe = peer.hasSentWatermarks && peer.clock.probeDue(now);
        if (!probe && !peer.owedEcho)
            continue;
        auto send = emptyMessage(peer.member);
        send.message.echo = std::exchange(peer.owedEcho, std::nullopt);
        if (probe) {
            send.message.probe = now;
            peer.clock.probed(now);
            peer.hasSentWatermarks = false;
        }
        sends.push_back(std::move(send));
    }
    counters_.sent += sends.size();
    return sends;
}

TimePoint WatermarkExchange::nextDue(TimePoint now) const
{
    auto due = TimePoint::max();
    if (hasUnsent())
        due = std::max(now, lastBatchAt_ + settings_.batchInterval);
    for (const auto &[vm, peer] : peers_) {
        if (peer.owedEcho || (peer.hasSentWatermarks && peer.clock.probeDue(now)))
            return now;
    }
    return due;
}

} // namespace shallotwalk
