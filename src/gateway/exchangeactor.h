#pragma once

#include "gateway/datagramsocket.h"
#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <optional>

namespace shallotwalk {

/// Collaborators and settings of an ExchangeActor.
struct ExchangeContext
{
    FleetMember self;              ///< This proxy; its address is where it takes messages.
    std::uint64_t incarnation = 0; ///< Differs between two starts of this proxy.
    caf::actor directory;          ///< Is asked for the members of the fleet.
    caf::actor groups;             ///< Gets WatermarksHeard.
    std::shared_ptr<const Clock> clock;
    /// Delay before the socket is opened again after a failure.
    Duration reopenDelay{std::chrono::seconds(1)};
};

/// State of the broker that owns the socket for datagrams between proxies and carries out the
/// decisions of a WatermarkExchange on it. A restart forgets what was heard; it is heard again.
class ExchangeActor
{
public:
    using Broker = caf::stateful_actor<ExchangeActor, MailboxClosingBroker>;

    explicit ExchangeActor(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, ExchangeContext context);

    static inline const char *name = "exchange";

private:
    caf::behavior start(ExchangeContext context);
    void openSocket();
    void handleDatagram(const DatagramReceived &datagram);
    void sendDue();
    StateDump dump() const;
    MetricsText metrics() const;

    Broker *self_;
    ExchangeContext context_;
    std::optional<WatermarkExchange> exchange_;
    std::unique_ptr<DatagramSocket> socket_;  ///< Null while it can't be opened.
    TimePoint timerDueAt_ = TimePoint::max(); ///< Newest timer's expiry; max() after any expired.
    std::uint64_t malformed_ = 0;             ///< Datagrams that could not be decoded.
    std::uint64_t misaddressed_ = 0; ///< Messages not sent from the address of their sender.
    std::uint64_t unsent_ = 0;       ///< Messages that the system did not take.
};

} // namespace shallotwalk
