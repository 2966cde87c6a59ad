#pragma once

#include "gateway/gatewaynode.h"
#include "gateway/gatewayservice.h"
#include "gateway/sessionlistener.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <memory>
#include <string>

namespace shallotwalk {

/// Settings of a proxy for clients that keep a session per connection.
struct GatewaySettings
{
    std::string vm; ///< Name in the fleet.
    std::string dataCentre;
    SessionListenerSettings clients;
    HttpEndpoint readiness; ///< Listens for the balancer.
    std::string readinessPath;
    HttpEndpoint administration; ///< Listens for metrics and state dumps; port 0: nowhere.
    HttpEndpoint store;
    HttpEndpoint platform; ///< Takes orders to promote servers.
    Duration shutdownGrace{
        std::chrono::seconds(6)}; ///< From the shutdown signal until the process is killed.
    /// A new configuration must be in force so soon after the store has accepted it.
    Duration configurationApplyLimit{std::chrono::seconds(3)};
    /// Files and sockets that the process may have open.
    std::size_t descriptorLimit = 1024;
};

inline constexpr std::string_view metricsPath = "/metrics";
inline constexpr std::string_view statePath = "/state";

/// Settings of CAF that the gateway needs.
void configureGateway(caf::actor_system_config &config);

/// Starts the supervisor tree. The returned actor takes ShutdownRequest and ends when the proxy has
/// ended: normally after a shutdown, with an error when the root supervisor has failed.
caf::actor startGateway(caf::actor_system &system, const GatewaySettings &settings,
                        const GatewayProtocols &protocols, std::shared_ptr<const Clock> clock);

} // namespace shallotwalk
