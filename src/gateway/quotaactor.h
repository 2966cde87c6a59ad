#pragma once

#include "gateway/datagramsocket.h"
#include "gateway/messages.h"
#include "supervision/supervision.h"
#include "wire/quotacodec.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <optional>
#include <unordered_map>

namespace shallotwalk {

/// Collaborators and settings of a QuotaActor.
struct QuotaContext
{
    FleetMember self;              ///< This proxy; its quotaPort is where it takes messages.
    std::uint64_t incarnation = 0; ///< Differs between two starts of this proxy.
    QuotaSettings quotas;
    caf::actor directory; ///< Is asked for the members of the fleet and the quotas.
    caf::actor sessions;  ///< Gets AdmissionsLost.
    std::shared_ptr<const Clock> clock;
    /// Delay before the socket is opened again after a failure.
    Duration reopenDelay{std::chrono::seconds(1)};
};

/// State of the broker that admits the operations of teams with quotas, and allocates quotas for
/// the fleet. It owns the socket for datagrams about quotas and carries out the decisions of a
/// QuotaClient and a QuotaAllocator on it. A restart drops the operations that wait, and tells the
/// sessions so.
class QuotaActor
{
public:
    using Broker = caf::stateful_actor<QuotaActor, MailboxClosingBroker>;

    explicit QuotaActor(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, QuotaContext context);

    static inline const char *name = "quotas";

private:
    caf::behavior start(QuotaContext context);
    void admit(const AdmitOperation &message);
    void setMembers(const FleetChanged &message);
    void openSocket();
    void handleDatagram(const DatagramReceived &datagram);
    void handle(const QuotaRequest &request);
    void handle(const QuotaReply &reply);
    void deliver(std::span<const QuotaDecision> decisions);
    void sendDue();
    void send(const std::string &vm, const QuotaMessage &message);
    StateDump dump() const;
    MetricsText metrics() const;

    Broker *self_;
    QuotaContext context_;
    std::optional<QuotaClient> client_;
    std::optional<QuotaAllocator> allocator_;
    std::map<std::string, FleetMember, std::less<>> members_; ///< Other proxies that take part.
    std::size_t limitedTeams_ = 0;
    /// Sessions that await a decision, by operation.
    std::unordered_map<OperationNumber, caf::actor> waiting_;
    std::unique_ptr<DatagramSocket> socket_;  ///< Null while it can't be opened.
    TimePoint timerDueAt_ = TimePoint::max(); ///< Newest timer's expiry; max() after any expired.
    std::uint64_t rejected_ = 0; ///< Datagrams that are no message of a proxy of the fleet.
    std::uint64_t unsent_ = 0;   ///< Messages that the system did not take.
};

} // namespace shallotwalk
