#include "supervision/relay.h"

#include <caf/message_view.hpp>
#include <caf/skip.hpp>

namespace shallotwalk {

Relay::Relay(caf::actor_config &config, std::string name)
    : caf::event_based_actor(config)
    , name_(std::move(name))
{
    // Messages that come before the first start stay in the mailbox.
    set_default_handler(caf::skip);
}

caf::behavior Relay::make_behavior()
{
    return {
        [this](ChildStarted &message) {
            if (message.name != name_)
                return;
            target_ = std::move(message.child);
            set_default_handler([this](caf::scheduled_actor *,
                                       caf::message_view &view) -> caf::result<caf::message> {
                return delegate(target_, view.move_content_to_message());
            });
            // A new behavior makes CAF look at the skipped messages again.
            become(make_behavior());
        },
    };
}

} // namespace shallotwalk
