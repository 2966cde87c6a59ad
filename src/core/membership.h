#pragma once

#include "core/membershipmessage.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Address of a VM to contact before its membership is known.
struct MemberAddress
{
    std::string vm; ///< Empty if only the address is known.
    std::string host;
    std::uint16_t port = 0;
};

/// Times and bounds of the membership protocol.
struct MembershipSettings
{
    Duration period{std::chrono::seconds(1)};            ///< Between two probes.
    Duration ackTimeout{std::chrono::milliseconds(500)}; ///< Before indirect probes.
    Duration suspicion{std::chrono::seconds(3)};
    /// For suspicions heard from others. Longer, because the VM that suspects probes on and hears
    /// a refutation first, while updates reach the others seconds apart.
    Duration suspicionHeard{std::chrono::seconds(8)};
    Duration rejoinInterval{
        std::chrono::seconds(5)}; ///< Between contacts to seeds or dead members.
    /// Dead members are remembered this long. Longer than a partition of regions (1 h), because
    /// the two sides find each other again through their dead members.
    Duration deadRetention{std::chrono::hours(2)};
    /// Full lists are exchanged with a random member at intervals that grow fourfold from the
    /// first to exchangePerMember times the number of members, so that a change missed by the
    /// probes' updates still arrives and the bytes per second don't depend on that number.
    Duration firstExchange{std::chrono::seconds(2)};
    Duration exchangePerMember{std::chrono::milliseconds(100)};
    std::size_t indirectProbes = 3;
    std::size_t updatesPerMessage = 8;
    std::size_t retransmissionFactor = 3; ///< Times log2 of the number of members.
};

/// A message to send. Without a VM name, the address alone identifies the receiver.
struct MembershipSend
{
    std::string vm;
    std::string host;
    std::uint16_t port = 0;
    MembershipMessage message;
};

/// What an event of the protocol leads to.
struct MembershipActions
{
    std::vector<MembershipSend> sends;
    bool membersChanged = false; ///< The set of live members, or an address, has changed.
    std::optional<ConfigurationVersion> newerConfiguration; ///< The sender knows this version.
};

/// SWIM membership: probes one member per period, in random round-robin order, asks others to
/// probe a member that doesn't answer, suspects it, and declares it dead unless it refutes the
/// suspicion with a higher incarnation. Changes spread on these messages. Not thread-safe.
class Membership
{
public:
    /// \a self is this VM with an incarnation higher than in its earlier runs, if possible.
    /// \a randomSeed determines the order of probes.
    Membership(MemberUpdate self, std::vector<MemberAddress> seeds, std::uint64_t randomSeed,
               const MembershipSettings &settings = {});

    /// Does what is due at \a now.
    MembershipActions tick(TimePoint now);

    /// Handles a message of \a from.
    MembershipActions receive(std::string_view from, const MembershipMessage &message,
                              TimePoint now);

    /// Next time at which tick() has something to do.
    TimePoint nextDue() const;

    /// Adds addresses to contact, such as the list of VMs; replaces the former seeds.
    void setSeeds(std::vector<MemberAddress> seeds) { seeds_ = std::move(seeds); }

    /// Sets the version of the tables that messages announce; a lower one is ignored.
    void announceConfiguration(ConfigurationVersion version);

    /// This VM and the members that are alive or suspect, ordered by name.
    std::vector<MemberUpdate> liveMembers() const;

    /// State of \a vm, if it is known.
    std::optional<MemberState> stateOf(std::string_view vm) const;

    const MemberUpdate &self() const { return self_; }

private:
    /// A known member other than this VM.
    struct Entry
    {
        MemberUpdate update;
        TimePoint changedAt;
        bool suspectedHere = false; ///< This VM's own probe failed.
    };

    /// A change that is still being spread.
    struct Rumor
    {
        std::string vm;
        std::size_t transmissions = 0;
    };

    /// The probe of the current period.
    struct OpenProbe
    {
        std::string vm;
        std::uint64_t sequence = 0;
        TimePoint ackDue;
        bool indirectSent = false;
    };

    /// A probe on behalf of another member.
    struct RelayedProbe
    {
        std::string requester;
        std::uint64_t requesterSequence = 0;
        TimePoint expires;
    };

    void startPeriod(TimePoint now, MembershipActions &actions);
    void finishProbe(TimePoint now, MembershipActions &actions);
    void sendIndirectProbes(MembershipActions &actions);
    void exchangeFullState(TimePoint now, MembershipActions &actions);
    Duration suspicionOf(const Entry &entry) const;
    void skipMissedTime(TimePoint now);
    void contactLostMembers(TimePoint now, MembershipActions &actions);
    void expire(TimePoint now, MembershipActions &actions);
    void handleProbe(std::string_view from, const MembershipMessage &message,
                     MembershipActions &actions);
    void handleAck(const MembershipMessage &message, TimePoint now, MembershipActions &actions);
    void handleIndirectProbe(std::string_view from, const MembershipMessage &message, TimePoint now,
                             MembershipActions &actions);
    void apply(const MemberUpdate &update, bool fromFullState, TimePoint now,
               MembershipActions &actions);
    void refute(const MemberUpdate &update);
    void changeState(Entry &entry, MemberState state, TimePoint now, MembershipActions &actions);
    void spread(std::string_view vm);
    void sendTo(std::string_view vm, MembershipMessage message, MembershipActions &actions,
                bool aboutReceiver = false);
    MembershipMessage makeMessage(MembershipKind kind, std::uint64_t sequence);
    void addRumors(MembershipMessage &message);
    std::size_t transmissionLimit() const;
    std::optional<std::string> nextTarget();
    std::vector<std::string> liveNames() const;

    MemberUpdate self_;
    std::vector<MemberAddress> seeds_;
    MembershipSettings settings_;
    std::mt19937_64 random_;
    std::map<std::string, Entry, std::less<>> members_;
    std::set<std::string, std::less<>> suspects_;
    std::vector<Rumor> rumors_;
    std::vector<std::string> order_; ///< Round of probes; taken from the back.
    std::optional<OpenProbe> probe_;
    std::map<std::uint64_t, RelayedProbe> relayed_;
    std::uint64_t lastSequence_ = 0;
    std::size_t live_ = 0; ///< Members that aren't dead.
    TimePoint periodDue_;
    TimePoint rejoinDue_;
    TimePoint exchangeDue_;
    Duration exchangeInterval_;
    ConfigurationVersion configurationVersion_ = 0;
};

} // namespace shallotwalk
