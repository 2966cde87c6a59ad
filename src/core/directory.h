#pragma once

#include "core/position.h"
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
    Duration transactionIdleLimit{0}; ///< 0: none.
};

/// A record in the store of the last promotion of a group. Its revision is the fencing token of the
/// order, so two orders never share one.
struct PromotionRecord
{
    std::string service;
    std::string server; ///< To take over; empty if the order was certainly not carried out.
    std::string holder; ///< Proxy that gives the order.
    std::string nonce;  ///< Recognises a write whose answer was lost.
    /// Log of the server when it was chosen. A log of an older term that is longer may have forked.
    Position position;
    std::int64_t revision = 0;

    bool operator==(const PromotionRecord &) const = default;
};

/// Bounds on the trust in missing entries.
struct DirectorySettings
{
    /// After an outage of the store, until an entry that is still missing counts as gone. Servers
    /// that live are back within about two seconds.
    Duration holdAfterOutage{std::chrono::milliseconds(2500)};
    /// Proxies whose suspicions of one primary count. Half of them must agree, so that one data
    /// centre that is cut off decides nothing.
    std::size_t witnessCount = 7;
};

/// What this proxy knows from the platform's store: the configuration in force, the registered
/// backend servers, the proxies of the fleet and the last promotions. An accepted configuration is
/// never replaced by an older one, and entries that vanish around an outage of the store are kept
/// until their owners have had time to write them again. Not thread-safe.
class Directory
{
public:
    explicit Directory(const DirectorySettings &settings = {});

    /// Takes a configuration; false if it isn't newer than the one in force.
    bool configurationRead(OperatorConfiguration configuration);

    /// Takes the entry of a server, present or changed. Returns whether anything but the heartbeat
    /// has changed.
    bool serverSeen(const ServerRegistration &server);
    bool serverGone(std::string_view id, TimePoint now);
    bool proxySeen(std::string_view name);
    bool proxyGone(std::string_view name, TimePoint now);
    void promotionSeen(PromotionRecord record);

    /// Proxy \a vm finds \a server, the primary of \a service, unable to serve.
    void suspicionSeen(std::string_view service, std::string_view vm, std::string_view server);
    void suspicionGone(std::string_view service, std::string_view vm);
    /// The servers that proxies other than \a self suspect, one entry a proxy.
    std::vector<std::string> suspicions(std::string_view service, std::string_view self) const;
    /// The proxies whose view of the primary of \a service counts, by rendezvous hashing; a view
    /// that all of a large fleet report would cost the store the square of their number.
    std::vector<std::string_view> witnesses(std::string_view service) const;
    /// The services that any server belongs to.
    std::set<std::string, std::less<>> services() const;

    /// All entries have been read: those that no call has named since beginListing() are gone.
    void beginListing();
    bool endListing(TimePoint now);

    /// A call to the store has failed or succeeded.
    void storeFailed(TimePoint now);
    void storeAnswered(TimePoint now);

    /// Removes the entries whose time has come; whether there were any.
    bool expire(TimePoint now);

    bool storeAvailable() const { return !failingSince_.has_value(); }
    const std::optional<OperatorConfiguration> &configuration() const { return configuration_; }
    std::vector<ServerRegistration> servers() const;
    std::size_t proxyCount() const { return proxies_.size(); }
    /// The last promotion of each service.
    std::vector<PromotionRecord> promotions() const;
    std::size_t heldCount() const;

private:
    template<class Value>
    struct Entry
    {
        Value value;
        bool listed = true;
        std::optional<TimePoint> goneSince;
    };
    template<class Value>
    using Entries = std::map<std::string, Entry<Value>, std::less<>>;

    template<class Value>
    bool remove(Entries<Value> &entries, std::string_view name, TimePoint now);
    template<class Value>
    bool endListing(Entries<Value> &entries, TimePoint now);
    template<class Value>
    bool expire(Entries<Value> &entries, TimePoint now);
    bool mustHold(TimePoint now) const;

    DirectorySettings settings_;
    std::optional<OperatorConfiguration> configuration_;
    Entries<ServerRegistration> servers_;
    Entries<bool> proxies_;
    std::map<std::string, PromotionRecord, std::less<>> promotions_;
    /// By service, then by proxy.
    std::map<std::string, std::map<std::string, std::string, std::less<>>, std::less<>> suspicions_;
    std::optional<TimePoint> failingSince_;
    TimePoint recoveredAt_;
};

} // namespace shallotwalk
