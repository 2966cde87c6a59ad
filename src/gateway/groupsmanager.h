#pragma once

#include "gateway/groupactor.h"
#include "supervision/restartlimiter.h"

#include <map>
#include <set>
#include <string>

namespace shallotwalk {

/// Collaborators of a GroupsManager.
struct GroupsContext
{
    bool avoidFailingServers = false; ///< See GroupSchedulerSettings.
    std::string vm;                   ///< Name of this proxy in the fleet.
    GatewayProtocols protocols;
    caf::actor directory;
    caf::actor promotions;
    caf::actor exchange; ///< Receives WatermarkObserved.
    caf::actor sessions; ///< Receives RoutingChanged.
    caf::actor node;     ///< Receives ServingChanged.
    std::shared_ptr<const Clock> clock;
};

/// State of the actor that starts a GroupActor for each pool of the configuration and restarts it
/// after a failure. It tells the groups their servers and connection shares, and gives the sessions
/// the routing. A restart of a group loses its connections, so open transactions are rolled back.
/// If the groups fail more often than RestartRule allows, this actor fails too.
class GroupsManager
{
public:
    using Broker = caf::stateful_actor<GroupsManager, MailboxClosingBroker>;

    explicit GroupsManager(Broker *self)
        : self_(self)
    {
    }
    GroupsManager(const GroupsManager &) = delete;
    GroupsManager &operator=(const GroupsManager &) = delete;

    /// Stops the group actors.
    ~GroupsManager();

    static caf::behavior run(Broker *self, GroupsContext context);

    static inline const char *name = "groups";

private:
    caf::behavior start(GroupsContext context);
    void update(const DirectoryChanged &message);
    void startGroup(const std::string &pool);
    void configureGroup(const std::string &pool);
    void forward(const WatermarksHeard &message);
    void handleDown(const caf::down_msg &message);
    void publishRouting();
    void reportServingChange(bool wasServing);
    caf::result<MetricsText> collectMetrics();
    caf::result<StateDump> collectState();

    Broker *self_;
    GroupsContext context_;
    RestartLimiter limiter_{RestartRule{}};
    DirectoryChanged directory_;
    std::shared_ptr<const Router> router_;
    std::map<std::string, caf::actor, std::less<>> groups_; ///< Group actors by pool.
    std::map<std::string, Pool, std::less<>> pools_;  ///< As last configured, removed ones too.
    std::set<std::string, std::less<>> servingPools_; ///< Pools whose group can run statements.
};

} // namespace shallotwalk
