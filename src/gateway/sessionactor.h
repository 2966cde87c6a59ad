#pragma once

#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace shallotwalk {

/// What all sessions of a listener share. Immutable.
struct SessionContext
{
    GatewayProtocols protocols;
    std::shared_ptr<const Clock> clock;
    Duration openingLimit{std::chrono::seconds(10)};        ///< For a client to open its session.
    std::size_t unsentLimit = std::size_t{4} * 1024 * 1024; ///< Of a client that doesn't read.
};

/// State of the broker that owns one client's connection. It serves one statement at a time;
/// further ones wait in the decoder's bounded buffer.
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
    void handleInvalid(const InvalidMessage &invalid);
    void handleFinished(StatementFinished &message);
    void send(const SessionAnswer &answer);
    void refuse(AnswerCode code, std::string_view text);
    void write(const std::string &bytes);
    void closeIfIdle();
    void close();
    caf::actor groupOf(const std::string &pool) const;

    Broker *self_;
    caf::io::connection_handle connection_;
    SessionNumber number_ = 0;
    std::shared_ptr<const SessionRouting> routing_;
    std::shared_ptr<const SessionContext> context_;
    std::unique_ptr<ClientDecoder> decoder_;
    std::optional<SessionOpening> opening_; ///< Waits for the first configuration.
    std::unique_ptr<ClientSession> session_;
    RequestNumber request_ = 0; ///< Outstanding; 0: none.
    caf::actor group_;          ///< Of the transaction in progress.
    bool closing_ = false;
    bool closed_ = false;
};

} // namespace shallotwalk
