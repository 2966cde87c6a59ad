#pragma once

#include "gateway/messages.h"
#include "supervision/latencysummary.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace shallotwalk {

/// What a GroupActor works with.
struct GroupContext
{
    GroupSchedulerSettings scheduler;
    GatewayProtocols protocols;
    caf::actor promotions; ///< Takes OrderPromotion.
    caf::actor directory;  ///< Takes ReportSuspicion.
    caf::actor manager;    ///< Gets ServingChanged.
    std::shared_ptr<const Clock> clock;
};

/// State of the broker that owns the connections to the backend servers of one group and runs the
/// decisions of a GroupScheduler on them.
class GroupActor : public GroupPort
{
public:
    using Broker = caf::stateful_actor<GroupActor, MailboxClosingBroker>;

    explicit GroupActor(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, GroupContext context);

    static inline const char *name = "group";

private:
    struct Connection
    {
        caf::io::connection_handle handle;
        std::unique_ptr<ServerDecoder> decoder;
    };

    caf::behavior start(GroupContext context);
    void configure(const GroupConfigured &message);
    void handleData(const caf::io::new_data_msg &message);
    void handleClosed(const caf::io::connection_closed_msg &message);
    void afterEvent();
    void recordLatency(const GroupRequest &request, const GroupAnswer &answer);
    void logOutcome(const GroupRequest &request, const GroupAnswer &answer) const;
    StateDump dump() const;
    MetricsText metrics() const;
    std::string latencyMetrics(std::string_view labels) const;
    std::string connectionMetrics(std::string_view labels) const;

    void openConnection(ServerConnectionKey key, const ServerRegistration &server) override;
    void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) override;
    void closeConnection(ServerConnectionKey key) override;
    void answer(const GroupRequest &request, GroupAnswer answer) override;
    void requestRetried(const GroupRequest &request, std::string_view server,
                        std::optional<AnswerCode> code) override;
    void reportSuspicion(std::string_view server, bool suspected) override;
    void orderPromotion(const PromotionChoice &choice) override;

    Broker *self_;
    GroupContext context_;
    std::unique_ptr<GroupScheduler> scheduler_;
    std::map<ServerConnectionKey, Connection> connections_;
    std::map<caf::io::connection_handle, ServerConnectionKey> keys_;
    std::unordered_map<RequestNumber, caf::actor> waiting_; ///< Sessions by request.
    std::vector<ServerConnectionKey> failedToOpen_;
    TimePoint timerAt_ = TimePoint::max();
    std::map<std::string, LatencySummary, std::less<>> latencies_; ///< By "ok" or error code.
    LatencySummary waits_; ///< In the proxy, until statements are first sent.
    bool serving_ = false;
    std::string primary_;             ///< As last logged.
    std::int64_t recordRevision_ = 0; ///< Of the newest promotion that the scheduler knows.
    Term pauseTerm_ = 0;              ///< As last logged.
};

} // namespace shallotwalk
