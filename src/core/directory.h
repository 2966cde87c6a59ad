#pragma once

#include "core/exchange/fleetmember.h"
#include "core/position.h"
#include "core/promotionrecord.h"
#include "core/serverregistration.h"
#include "core/tables.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// One version of the operators' configuration.
struct OperatorConfiguration
{
    std::shared_ptr<const Tables> tables;
    /// A transaction without statements for longer is rolled back; 0: never.
    Duration transactionIdleLimit{0};
    std::vector<TeamProblem> ignoredTeams = {}; ///< Entries of teams that can't be used.
};

/// Part of a proxy in deciding whether the primary of a group must be replaced.
struct WitnessRole
{
    std::size_t witnesses = 1; ///< Number of proxies whose view of the primary counts.
    bool witness = true;       ///< Whether the proxy is one of them.
    /// Place of the proxy among the witnesses, counted from 0; \c witnesses if it is none.
    std::size_t rank = 0;
};

/// Settings of a Directory.
struct DirectorySettings
{
    /// Time after an outage of the store before entries that are still missing are removed. Running
    /// servers have registered again after about two seconds.
    Duration holdAfterOutage{std::chrono::milliseconds(2500)};
    /// Number of proxies whose suspicions of one primary count. Half of them must agree, so that a
    /// data centre that is cut off can't decide alone.
    std::size_t witnessCount = 7;
};

/// Local copy of the entries in the platform's store: the configuration in force, the registered
/// backend servers, the proxies of the fleet, their suspicions of primaries, and the last
/// promotions. An accepted configuration is never replaced by an older one. Entries of servers and
/// proxies that disappear during an outage of the store, or soon after it, are kept until their
/// owners have had time to write them again. Not thread-safe.
class Directory
{
public:
    explicit Directory(const DirectorySettings &settings = {});

    /// Puts \a configuration in force. Returns false, without effect, if it isn't newer than the
    /// one in force.
    bool configurationRead(OperatorConfiguration configuration);

    /// Adds or updates the entry of a server. Returns whether it is new, changed, or no longer
    /// missing; a new heartbeat alone is no change.
    bool serverSeen(const ServerRegistration &server);
    /// The server's entry has disappeared from the store. Returns whether it was removed here; if
    /// not, it was unknown or is kept because of an outage of the store.
    bool serverGone(std::string_view id, TimePoint now);
    /// Adds or updates the entry of a proxy. Returns whether it is new or changed.
    bool proxySeen(const FleetMember &proxy);
    /// The server's entry can't be decoded. What its last valid entry said is kept until the entry
    /// is valid again or disappears, since the server itself has not said that it leaves.
    void serverInvalid(std::string_view id);
    /// Like serverGone(), for the entry of a proxy.
    bool proxyGone(std::string_view name, TimePoint now);
    /// The store holds \a record. Returns the newest record of the service that is known, at the
    /// revision of the one that the store holds: a store that has gone back may have lost it.
    const PromotionRecord &promotionSeen(const PromotionRecord &record);
    /// At \a revision the store holds no record of \a service. Returns the newest one that is
    /// known, as promotionSeen() does; null if there is none.
    const PromotionRecord *promotionGone(std::string_view service, StoreRevision revision);
    /// The records that the store has lost, each at the revision of the one that it holds instead.
    std::vector<PromotionRecord> lostPromotions() const;

    /// The proxy \a vm suspects that \a server, the primary of \a service, can't serve.
    void suspicionSeen(std::string_view service, std::string_view vm, std::string_view server);
    /// The suspicion of the proxy \a vm about the primary of \a service has disappeared from the
    /// store.
    void suspicionGone(std::string_view service, std::string_view vm);
    /// The servers that the witnesses of \a service other than \a self suspect, one entry for each
    /// of these witnesses.
    std::vector<std::string> suspicions(std::string_view service, std::string_view self) const;
    /// The proxies whose view of the primary of \a service counts, chosen by rendezvous hashing. If
    /// all proxies of a large fleet reported their view, the cost for the store would grow with the
    /// square of their number.
    std::vector<std::string_view> witnesses(std::string_view service) const;
    /// The part of the proxy \a vm for the primary of \a service. While no proxy of the fleet is
    /// known, it is the only witness.
    WitnessRole witnessRole(std::string_view service, std::string_view vm) const;
    /// The services that have at least one server.
    std::set<std::string, std::less<>> services() const;

    /// Begins a complete read of the store's entries. All suspicions are dropped.
    void beginListing();
    /// Ends the read. Servers and proxies that weren't seen since beginListing() have disappeared
    /// from the store. Returns whether any of them were removed here.
    bool endListing(TimePoint now);

    /// The store has gone back to an older copy. Entries that it lacks now are kept until their
    /// owners have had time to write them again.
    void storeRestored(TimePoint now) { recoveredAt_ = now; }

    /// A call to the store has failed.
    void storeFailed(TimePoint now);
    /// A call to the store has succeeded.
    void storeAnswered(TimePoint now);

    /// Removes the missing entries if the time for which they are kept after an outage is over.
    /// Returns whether there were any.
    bool expire(TimePoint now);

    bool storeAvailable() const { return !failingSince_.has_value(); }
    const std::optional<OperatorConfiguration> &configuration() const { return configuration_; }
    std::vector<ServerRegistration> servers() const;
    std::size_t proxyCount() const { return proxies_.size(); }
    std::vector<FleetMember> proxies() const;
    /// The last promotion of each service that is known, as promotionSeen() returns it.
    std::vector<PromotionRecord> promotions() const;
    /// Number of servers and proxies whose entry is missing in the store but still kept here.
    std::size_t heldCount() const;

private:
    template<class Value>
    struct Entry
    {
        Value value;
        bool listed = true;                 ///< Seen since beginListing().
        std::optional<TimePoint> goneSince; ///< When it was found missing in the store.
    };
    struct KnownPromotion
    {
        PromotionRecord record;
        bool lost = false; ///< The store holds an older record, or none.
    };
    template<class Value>
    using Entries = std::map<std::string, Entry<Value>, std::less<>>;

    template<class Value>
    bool remove(Entries<Value> &entries, std::string_view name, TimePoint now);
    template<class Value>
    bool endListing(Entries<Value> &entries, TimePoint now);
    template<class Value>
    bool expire(Entries<Value> &entries, TimePoint now);
    /// Whether missing entries are kept because of a present or recent outage of the store.
    bool holdsMissingEntries(TimePoint now) const;

    DirectorySettings settings_;
    std::optional<OperatorConfiguration> configuration_;
    Entries<ServerRegistration> servers_;
    Entries<FleetMember> proxies_;
    std::map<std::string, KnownPromotion, std::less<>> promotions_;
    /// Suspected server by service and proxy.
    std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> suspicions_;
    std::optional<TimePoint> failingSince_; ///< Start of the present outage of the store.
    TimePoint recoveredAt_; ///< End of the last outage, or when the store had gone back.
};

} // namespace shallotwalk
