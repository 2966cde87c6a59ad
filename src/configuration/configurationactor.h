#pragma once

#include "configuration/messages.h"
#include "core/configurationmachine.h"
#include "registry/messages.h"
#include "supervision/clock.h"
#include "supervision/subscribers.h"
#include "wire/tablesassembly.h"

#include <boost/json/value.hpp>

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwalk {

/// Prefix of the tables' keys in the store.
inline constexpr std::string_view tablesPrefix = "/shallotwalk/tables/";

/// What the configuration actor works with.
struct ConfigurationSettings
{
    std::string vm; ///< This proxy.
    caf::actor storeClient;
    caf::actor storeWatcher;               ///< Invalid on proxies that don't watch the store.
    caf::actor peers;                      ///< Carries the peer messages; may be invalid.
    std::vector<std::string> knownProxies; ///< VMs; this proxy may be among them.
    Duration tickInterval{std::chrono::seconds(1)};
};

/// Keeps the tables in force on this proxy up to date and carries operators' changes to the store.
/// Executes the actions of a ConfigurationMachine. Doesn't block.
class ConfigurationActor : public caf::event_based_actor
{
public:
    /// \a subscribers are those of an earlier run. \pre \a settings.storeClient is valid.
    ConfigurationActor(caf::actor_config &config, ConfigurationSettings settings,
                       std::shared_ptr<const Clock> clock,
                       std::shared_ptr<Subscribers> subscribers = std::make_shared<Subscribers>());

    caf::behavior make_behavior() override;

    /// Releases references to other actors: mutual references would keep both threads alive.
    void on_exit() override;

private:
    /// The load of one version.
    struct Load
    {
        TablesHead head;
        std::string peer; ///< Empty: the store.
        unsigned ticks = 0;
    };
    /// An operator's change that has not been answered.
    struct Change
    {
        caf::response_promise promise;
        std::vector<TablesPart> parts;
        std::size_t unwritten = 0;
        bool failed = false;
    };

    caf::behavior messageHandlers();
    caf::result<ApplyOutcome> apply(ApplyTables &message);
    void subscribe(const caf::actor &subscriber);
    void handleStoreChange(const StoreChanged &message);
    void handlePeerHead(const PeerHead &message);
    void handlePart(const std::string &hash, bool found, std::string content);
    void setKnownProxies(const std::vector<std::string> &vms);
    void tick();

    void run(ConfigurationActions actions);
    void execute(const FetchParts &action);
    void execute(const WriteParts &action);
    void execute(const SwapHead &action);
    void execute(const ReadHead &action);
    void execute(const PublishTables &action);
    void execute(const AnswerProposal &action);

    void keepParts();
    void fetchPart(const Load &load, const std::string &hash);
    void finishLoad();
    void failLoad();
    void writePart(std::uint64_t proposal, const TablesPart &part, unsigned attempts);
    void partWritten(std::uint64_t proposal, bool success);
    void headRead(const StoreReadReply &reply);
    TimePoint callDeadline() const;
    boost::json::value state() const;

    ConfigurationSettings settings_;
    std::shared_ptr<const Clock> clock_;
    ConfigurationMachine machine_;
    std::set<std::string> peerVms_;
    std::shared_ptr<Subscribers> subscribers_;
    std::map<std::string, std::string, std::less<>> parts_; ///< Content by hash.
    TablesAssembly assembly_;
    std::optional<Load> load_;
    std::map<std::uint64_t, Change> changes_;
    std::uint64_t lastProposal_ = 0;
};

} // namespace shallotwalk
