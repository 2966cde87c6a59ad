#pragma once

#include "node/settings.h"
#include "supervision/supervision.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <memory>

namespace shallotwalk {

/// Sets what every process of the system needs in \a config: the middleman and a scheduler whose
/// idle workers sleep.
void configureActorSystem(caf::actor_system_config &config);

/// Starts the NodeActor and under it the whole supervisor tree of a proxy. Returns the NodeActor.
/// \pre \a system was made from a configuration that passed configureActorSystem().
caf::actor startNode(caf::actor_system &system, const Settings &settings,
                     std::shared_ptr<const Clock> clock);

} // namespace shallotwalk
