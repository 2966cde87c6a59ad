#pragma once

#include "gateway/gatewaynode.h"
#include "gateway/gatewayservice.h"
#include "gateway/sessionlistener.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <memory>
#include <string>

namespace shallotwalk {

/// Settings of a proxy for clients that open one session on each connection.
struct GatewaySettings
{
    std::string vm; ///< Name of this proxy in the fleet.
    std::string dataCentre;
    SessionListenerSettings clients;
    HttpEndpoint readiness; ///< Address on which the load balancer asks for readiness.
    std::string readinessPath;
    /// Address of metrics, state dumps and the feed; port 0: disabled.
    HttpEndpoint administration;
    /// UDP address for other proxies; port 0: disabled. Other proxies take the same address for
    /// that of the feed, over TCP.
    HttpEndpoint exchange;
    /// UDP port for datagrams about quotas, at the same host; 0: disabled.
    std::uint16_t quotaPort = 0;
    QuotaSettings quotas;
    HttpEndpoint store;
    HttpEndpoint platform; ///< Address that takes orders to promote servers.
    /// Time from the shutdown signal until the process is killed.
    Duration shutdownGrace{std::chrono::seconds(6)};
    /// Time within which a new configuration must be in force after the store has accepted it.
    Duration configurationApplyLimit{std::chrono::seconds(3)};
    /// Whether reads avoid backend servers that answer with errors; see GroupSchedulerSettings.
    bool avoidFailingServers = false;
    /// Files and sockets that the process may have open.
    std::size_t descriptorLimit = 1024;
};

inline constexpr std::string_view metricsPath = "/metrics";
inline constexpr std::string_view statePath = "/state";
/// Followers ask a watcher of the store here, at its administration address.
inline constexpr std::string_view feedPath = "/feed";

/// Loads CAF's network module and sets the scheduler for the gateway.
void configureGateway(caf::actor_system_config &config);

/// Starts the supervisor tree. The returned actor is the GatewayNode: it takes ShutdownRequest and
/// ends with the proxy, normally after a shutdown, with an error if the root supervisor has failed.
caf::actor startGateway(caf::actor_system &system, const GatewaySettings &settings,
                        const GatewayProtocols &protocols, std::shared_ptr<const Clock> clock);

} // namespace shallotwalk
