#pragma once

#include "gateway/groupactor.h"
#include "supervision/restartlimiter.h"

#include <map>
#include <set>
#include <string>

namespace shallotwalk {

/// What a GroupsManager works with.
struct GroupsContext
{
    GatewayProtocols protocols;
    caf::actor directory;
    caf::actor promotions;
    caf::actor sessions; ///< Gets RoutingChanged.
    caf::actor node;     ///< Gets ServingChanged.
    std::shared_ptr<const Clock> clock;
};

/// State of the actor that starts and restarts a GroupActor for each pool of the configuration, and
/// tells them their servers and connections, and the sessions where to find them. A restart of a
/// group loses its connections, so open transactions are rolled back. Groups that fail more often
/// than the rule allows make it fail itself.
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

    /// Ends the groups.
    ~GroupsManager();

    static caf::behavior run(Broker *self, GroupsContext context);

    static inline const char *name = "groups";

private:
    caf::behavior start(GroupsContext context);
    void update(const DirectoryChanged &message);
    void startGroup(const std::string &pool);
    void configureGroup(const std::string &pool);
    void handleDown(const caf::down_msg &message);
    void publishRouting();
    void reportServing(bool before);
    caf::result<MetricsText> collectMetrics();
    caf::result<StateDump> collectState();

    Broker *self_;
    GroupsContext context_;
    RestartLimiter limiter_{RestartRule{}};
    DirectoryChanged directory_;
    std::shared_ptr<const Router> router_;
    std::map<std::string, caf::actor, std::less<>> groups_; ///< By pool.
    std::map<std::string, Pool, std::less<>> pools_; ///< As last configured, also those that left.
    std::set<std::string, std::less<>> serving_;
};

} // namespace shallotwalk
