#pragma once

#include <caf/io/broker.hpp>

namespace shallotwalk {

/// Base of all brokers. In CAF 0.17, abstract_broker::cleanup() doesn't close the mailbox: a
/// message that arrives after the broker's end, such as a delayed message to itself, stays there
/// and keeps the broker in memory, and requests to it are never answered. This class closes the
/// mailbox, so that late messages are dropped and requests fail with
/// caf::sec::request_receiver_down. Use it as caf::stateful_actor<State, MailboxClosingBroker>.
class MailboxClosingBroker : public caf::io::broker
{
public:
    using caf::io::broker::broker;

    bool cleanup(caf::error &&reason, caf::execution_unit *host) override;
};

} // namespace shallotwalk
