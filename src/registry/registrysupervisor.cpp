#include "registry/registrysupervisor.h"

namespace shallotwalk {

std::vector<ChildSpecification> registryChildren(const RegistrySettings &settings,
                                                 std::shared_ptr<const Clock> clock)
{
    auto watcher = settings.watcher;
    watcher.store = settings.store;
    auto watching = std::make_shared<StoreSubscribers>();
    auto polling = std::make_shared<Subscribers>();
    return {
        {std::string(storeClientName),
         [store = settings.store, clock](caf::event_based_actor *parent) -> caf::actor {
             return parent->system().spawn<StoreClient, caf::detached>(store, clock);
         }},
        {std::string(storeWatcherName),
         [watcher, clock, watching](caf::event_based_actor *parent) -> caf::actor {
             return parent->system().spawn<StoreWatcher, caf::detached>(watcher, clock, watching);
         }},
        {std::string(vmListPollerName),
         [vmList = settings.vmList, clock, polling](caf::event_based_actor *parent) -> caf::actor {
             return parent->system().spawn<VmListPoller, caf::detached>(vmList, clock, polling);
         }},
    };
}

} // namespace shallotwalk
