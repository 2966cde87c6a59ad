#pragma once

#include "databases/messages.h"
#include "databases/requestexecutor.h"

#include "supervision/messages.h"
#include "wire/clock.h"
#include "wire/sqlconnection.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <optional>
#include <string>

namespace shallotwalk {

/// Settings of one BackendConnection.
struct BackendConnectionSettings
{
    ConnectionId id = 0;
    std::string vm;   ///< VM of the backend server.
    SqlTarget target; ///< readOnlyByDefault is always set.
    Duration connectTimeout{std::chrono::seconds(2)};
    Duration testAfterIdle{std::chrono::seconds(5)};
    Duration testTimeout{std::chrono::milliseconds(500)};
};

/// Owns one connection to one backend server and runs requests on it, one at a time. It must be
/// spawned with caf::detached, because it blocks: up to the connect timeout at its start, and per
/// request up to testTimeout, the request's deadline and 500 ms for a rollback. An Interrupt ends
/// these waits at once and makes the connection unusable.
///
/// It connects at its start and sends ConnectionOpened or ConnectionFailed to the database actor.
/// It quits normally after a failed connect, an unusable connection, CloseConnection, DrainRequest
/// or the end of the database actor.
class BackendConnection : public caf::event_based_actor
{
public:
    BackendConnection(caf::actor_config &config, BackendConnectionSettings settings,
                      std::shared_ptr<SqlConnector> connector, std::shared_ptr<const Clock> clock,
                      caf::actor database, std::shared_ptr<const Interrupt> interrupt = nullptr);

    caf::behavior make_behavior() override;

private:
    void open();
    void run(const RunRequest &message);
    StatementReply runOn(const StatementRequest &request);
    std::optional<Failure> testIfIdle(TimePoint now);
    StateDump dumpState() const;

    BackendConnectionSettings settings_;
    std::shared_ptr<SqlConnector> connector_;
    std::shared_ptr<const Clock> clock_;
    caf::actor database_;
    std::shared_ptr<const Interrupt> interrupt_;
    std::unique_ptr<SqlConnection> connection_;
    std::optional<RequestExecutor> executor_;
    TimePoint lastUsed_;
    std::uint64_t requests_ = 0;
};

} // namespace shallotwalk
