#include "feed/feedsupervisor.h"

namespace shallotwalk {

std::vector<ChildSpecification> feedChildren(const FeedContext &context)
{
    // Only the running actor uses the subscriptions; the next one starts after its end.
    auto subscriptions = std::make_shared<FeedSubscriptions>();
    return {{std::string(feedName),
             [context, subscriptions](caf::event_based_actor *parent) -> caf::actor {
                 return parent->system().spawn<FeedActor>(context, subscriptions);
             }}};
}

} // namespace shallotwalk
