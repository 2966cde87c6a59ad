#pragma once

#include "registry/storewatcher.h"
#include "registry/vmlistpoller.h"
#include "supervision/supervisor.h"

namespace shallotwalk {

/// Settings of the registry branch of the supervisor tree.
struct RegistrySettings
{
    StoreClientSettings store;
    StoreWatcherSettings watcher; ///< Its \c store member is replaced by \c store.
    VmListPollerSettings vmList;
};

/// Names of the registry supervisor's children, as reported by ChildStarted.
inline constexpr std::string_view storeClientName = "storeClient";
inline constexpr std::string_view storeWatcherName = "storeWatcher";
inline constexpr std::string_view vmListPollerName = "vmListPoller";

/// The children of the registry supervisor. Each runs in a thread of its own.
std::vector<ChildSpecification> registryChildren(const RegistrySettings &settings,
                                                 std::shared_ptr<const Clock> clock);

} // namespace shallotwalk
