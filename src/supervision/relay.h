#pragma once

#include "supervision/messages.h"

#include <caf/event_based_actor.hpp>

#include <string>

namespace shallotwalk {

/// Stable address of a child that its supervisor may restart: passes each message on to the
/// present child. Messages that come before the first start wait for it.
class Relay : public caf::event_based_actor
{
public:
    Relay(caf::actor_config &config, std::string name);

    caf::behavior make_behavior() override;

private:
    std::string name_;
    caf::actor target_;
};

} // namespace shallotwalk
