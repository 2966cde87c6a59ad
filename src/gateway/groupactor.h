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

/// Settings and collaborators of a GroupActor.
struct GroupContext
{
    GroupSchedulerSettings scheduler;
    GatewayProtocols protocols;
    caf::actor promotions; ///< Receives OrderPromotion.
    caf::actor directory;  ///< Receives ReportSuspicion.
    caf::actor exchange;   ///< Receives WatermarkObserved.
    caf::actor manager;    ///< Receives ServingChanged.
    std::shared_ptr<const Clock> clock;
};

/// State of the broker that owns the connections to the backend servers of one group and carries
/// out the decisions of a GroupScheduler on them.
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
    void confirmPromotion(const ConfirmPromotion &message);
    void configure(const GroupConfigured &message);
    void handleData(const caf::io::new_data_msg &message);
    void handleClosed(const caf::io::connection_closed_msg &message);
    void updateTimerAndReportChanges();
    void recordLatency(const GroupRequest &request, const GroupAnswer &answer);
    void logOutcome(const GroupRequest &request, const GroupAnswer &answer) const;
    StateDump dump() const;
    MetricsText metrics() const;
    std::string latencyMetrics(std::string_view labels) const;
    std::string connectionMetrics(std::string_view labels) const;

    void openConnection(ServerConnectionKey key, const ServerRegistration &server,
                        std::string_view team) override;
    void sendCommands(ServerConnectionKey key, std::span<const ServerCommand> commands) override;
    void closeConnection(ServerConnectionKey key) override;
    void answer(const GroupRequest &request, GroupAnswer answer) override;
    void requestRetried(const GroupRequest &request, std::string_view server,
                        std::optional<AnswerCode> code) override;
    void requestStranded(const GroupRequest &request) override;
    void connectionRefused(std::string_view server, AnswerCode code, Duration retryDelay) override;
    void shareWatermark(Position position, TimePoint sentAt, Position acknowledged) override;
    void reportSuspicion(std::string_view server, bool suspected) override;
    void primaryDemoted(std::string_view server, bool demoted, Position position) override;
    void orderPromotion(const PromotionChoice &choice) override;

    Broker *self_;
    GroupContext context_;
    std::unique_ptr<GroupScheduler> scheduler_;
    std::map<ServerConnectionKey, Connection> connections_;
    std::map<caf::io::connection_handle, ServerConnectionKey> keysByHandle_;
    /// Sessions that await an answer, by request.
    std::unordered_map<RequestNumber, caf::actor> requesters_;
    std::vector<ServerConnectionKey> failedToOpen_; ///< Keys not yet reported to the scheduler.
    TimePoint timerDueAt_ = TimePoint::max(); ///< Newest timer's expiry; max() after any expired.
    /// Latencies of statements by outcome: "ok" or the error code.
    std::map<std::string, LatencySummary, std::less<>> latencies_;
    LatencySummary queueTimes_;      ///< Time from receipt of a statement to its first sending.
    bool reportedServing_ = false;   ///< Serving state last reported to the manager.
    std::string loggedPrimary_;      ///< Primary last logged; empty if none is known.
    StoreRevision recordRevision_;   ///< Of the promotion record that the store holds.
    std::uint64_t recordNumber_ = 0; ///< Of the newest promotion record that is known.
    std::vector<std::string> loggedBlockedBy_; ///< Replicas last logged as blocking a promotion.
    Term loggedPauseTerm_ = 0; ///< Pause term last logged; 0: replicas need not pause.
};

} // namespace shallotwalk
