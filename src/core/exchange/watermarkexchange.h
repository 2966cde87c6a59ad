#pragma once

#include "core/exchange/exchangemessage.h"
#include "core/exchange/fleetmember.h"
#include "core/exchange/peerclock.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Times and bounds of a WatermarkExchange.
struct WatermarkExchangeSettings
{
    /// Watermarks that arrive within this time are sent on together.
    Duration batchInterval{std::chrono::milliseconds(100)};
    /// Proxies of each data centre that pass on what they get from other data centres. More than
    /// one, because a proxy that has died stays in the list for some seconds.
    std::size_t relaysPerDataCentre = 2;
    /// Size of the watermarks of one message in bytes, so that it fits into one packet.
    std::size_t maxWatermarkBytes = 1000;
    /// Number of groups whose watermarks are remembered, as a bound on memory.
    std::size_t maxServices = 10'000;
};

/// A message and its receiver.
struct ExchangeSend
{
    std::string vm;
    std::string host;
    std::uint16_t port = 0;
    ExchangeMessage message;
};

/// Event counts of a WatermarkExchange since it was created.
struct ExchangeCounters
{
    std::uint64_t received = 0; ///< Messages of members.
    std::uint64_t foreign = 0;  ///< Messages of senders that aren't members; ignored.
    std::uint64_t taken = 0;    ///< Watermarks that were new here.
    std::uint64_t undated = 0;  ///< Watermarks ignored because the sender's clock is unknown.
    std::uint64_t sent = 0;     ///< Messages sent.
};

/// Spreads the positions of primaries over the fleet. A proxy sends what it has learnt from a
/// server to two relays of each data centre, which pass it on to the other proxies of theirs, so
/// that few bytes cross between data centres. It answers the load of many proxies before many
/// groups, where asking the servers grows with proxies times servers. A watermark is a fact that
/// stays true, so that a message may be lost, late or repeated; only its time must not seem later
/// than it is, see PeerClock. A proxy that hears nothing asks the servers itself, see
/// WatermarkSharing. Not thread-safe. Times must not decrease from call to call.
class WatermarkExchange
{
public:
    /// \a self is this proxy. \a incarnation differs between two starts of it.
    WatermarkExchange(FleetMember self, std::uint64_t incarnation,
                      const WatermarkExchangeSettings &settings = {});

    /// Sets the proxies of the fleet, this one included. Those without an address are left out.
    void setMembers(std::span<const FleetMember> members);

    /// A server has told this proxy its position.
    void observed(const SharedWatermark &watermark);

    /// Handles a message. Returns the watermarks that are newer than those known here, with times
    /// of this proxy's clock. Those that tell of a newer acknowledged commit are returned too.
    std::vector<SharedWatermark> receive(const ExchangeMessage &message, TimePoint now);

    /// Returns the messages to send at \a now.
    std::vector<ExchangeSend> tick(TimePoint now);

    /// Returns the time at which tick() must be called; TimePoint::max() if nothing is due.
    TimePoint nextDue(TimePoint now) const;

    /// Returns the address of the member \a vm; null if it is none.
    const FleetMember *member(std::string_view vm) const;

    /// Returns whether this proxy passes on watermarks within its data centre.
    bool isRelay() const { return isRelay(self_); }

    const ExchangeCounters &counters() const { return counters_; }

private:
    struct Known
    {
        Position position;
        TimePoint sentAt;
        Position acknowledged;
        std::string source; ///< VM that it came from; empty if from a server.
        bool forRelays = false;
        bool forDataCentre = false;
    };
    struct Peer
    {
        FleetMember member;
        PeerClock clock;
        std::optional<ClockEcho> owedEcho;
        bool hasSentWatermarks = false; ///< Its clock must be known.
    };

    bool take(const SharedWatermark &watermark, std::string_view source, bool forRelays,
              bool forDataCentre);
    bool isRelay(const FleetMember &member) const;
    bool hasUnsent() const;
    void addWatermarks(const FleetMember &member, std::span<const SharedWatermark> watermarks,
                       bool relayed, std::vector<ExchangeSend> &sends) const;
    void sendUnsent(std::vector<ExchangeSend> &sends);
    ExchangeSend emptyMessage(const FleetMember &member) const;

    FleetMember self_;
    std::uint64_t incarnation_;
    WatermarkExchangeSettings settings_;
    std::map<std::string, Peer, std::less<>> peers_; ///< The other members with an address.
    std::map<std::string, std::vector<std::string>, std::less<>> relays_; ///< By data centre.
    std::map<std::string, Known, std::less<>> known_;                     ///< By group.
    TimePoint lastBatchAt_;
    ExchangeCounters counters_;
};

} // namespace shallotwalk
