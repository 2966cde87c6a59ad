#pragma once

#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace shallotwalk {

/// Settings and protocols that all sessions of a listener share. Immutable.
struct SessionContext
{
    GatewayProtocols protocols;
    caf::actor quotas; ///< Gets AdmitOperation.
    std::shared_ptr<const Clock> clock;
    /// A client that has not opened its session within this time is disconnected.
    Duration openingTimeout{std::chrono::seconds(10)};
    /// A client is disconnected when more bytes than this wait to be sent because it doesn't read.
    std::size_t unsentLimitBytes = std::size_t{4} * 1024 * 1024;
    /// A session that is closed while an answer is being sent ends after this time at the latest.
    Duration sendingTimeout{std::chrono::seconds(30)};
};

/// State of the broker that owns the connection of one client. It serves one statement at a time;
/// pipelined statements wait in the decoder, whose buffer is bounded.
class SessionActor
{
public:
    using Broker = caf::stateful_actor<SessionActor, MailboxClosingBroker>;

    explicit SessionActor(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, caf::io::connection_handle connection,
                             SessionNumber number, std::shared_ptr<const SessionRouting> routing,
                             std::shared_ptr<const SessionContext> context);

    static inline const char *name = "session";

private:
    caf::behavior start(caf::io::connection_handle connection, SessionNumber number,
                        std::shared_ptr<const SessionRouting> routing,
                        std::shared_ptr<const SessionContext> context);
    void serveNext();
    void handle(ClientMessage message);
    void open(const SessionOpening &opening);
    void handleStatement(SessionStatement statement);
    void handleAdmission(const OperationAdmitted &message);
    void runStatement(SessionStep step);
    void refuseOperation(const GroupRequest &request, AnswerCode code, std::string_view reason);
    void handleInvalid(const InvalidMessage &invalid);
    void handleFinished(StatementFinished &message);
    void updateRouting(const RoutingChanged &message);
    void abandonStatement(std::string_view reason);
    void send(const SessionAnswer &answer);
    void refuseAndClose(AnswerCode code, std::string_view text);
    void write(const std::string &bytes);
    void closeIfIdle();
    void close();
    void closeAtOnce();
    void end();
    caf::actor groupOf(const std::string &pool) const;

    Broker *self_;
    caf::io::connection_handle connection_;
    SessionNumber number_ = 0;
    std::shared_ptr<const SessionRouting> routing_;
    std::shared_ptr<const SessionContext> context_;
    std::unique_ptr<ClientDecoder> decoder_;
    std::optional<SessionOpening> pendingOpening_; ///< Opening that awaits the first configuration.
    std::unique_ptr<ClientSession> session_;
    RequestNumber pendingRequest_ = 0; ///< Request that awaits StatementFinished; 0: none.
    /// The pending request while it awaits the decision on its operation.
    std::optional<SessionStep> awaitingAdmission_;
    GroupAnswer lostOutcome_;        ///< Outcome of that request if its group ends.
    caf::actor group_;               ///< Group of the last request and of the open transaction.
    bool serving_ = false;           ///< serveNext() is running.
    bool closeWhenIdle_ = false;     ///< CloseIdleSessions was received.
    bool closeWhenAnswered_ = false; ///< CloseAllSessions was received.
    bool closed_ = false;
    std::size_t unsentBytes_ = 0; ///< Written, and not yet taken by the kernel.
};

} // namespace shallotwalk
