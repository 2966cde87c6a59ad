#include "databases/backendconnection.h"

#include "supervision/logvalue.h"

#include <boost/leaf/handle_errors.hpp>

#include <caf/allowed_unsafe_message_type.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <ctime>

namespace shallotwalk {

namespace {

/// Message of a BackendConnection to itself at its start.
struct StartConnecting
{
};

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StartConnecting)

namespace shallotwalk {

namespace leaf = boost::leaf;

BackendConnection::BackendConnection(caf::actor_config &config, BackendConnectionSettings settings,
                                     std::shared_ptr<SqlConnector> connector,
                                     std::shared_ptr<const Clock> clock, caf::actor database,
                                     std::shared_ptr<const Interrupt> interrupt)
    : caf::event_based_actor(config)
    , settings_(std::move(settings))
    , connector_(std::move(connector))
    , clock_(std::move(clock))
    , database_(std::move(database))
    , interrupt_(std::move(interrupt))
{
    settings_.target.readOnlyByDefault = true;
    set_down_handler([this](caf::down_msg &) { quit(); });
    monitor(database_);
}

caf::behavior BackendConnection::make_behavior()
{
    send(this, StartConnecting{});
    return {
        [this](StartConnecting) { open(); },
        [this](const RunRequest &message) { run(message); },
        [this](CloseConnection) { quit(); },
        [this](DrainRequest) { quit(); },
        [this](StateDumpRequest) { return dumpState(); },
    };
}

void BackendConnection::open()
{
    leaf::try_handle_all(
        [this]() -> Result<void> {
            BOOST_LEAF_ASSIGN(connection_,
                              connector_->connect(settings_.target,
                                                  clock_->now() + settings_.connectTimeout,
                                                  interrupt_));
            executor_.emplace(*connection_, settings_.vm);
            lastUsed_ = clock_->now();
            send(database_, ConnectionOpened{settings_.id});
            return {};
        },
        [this](const Failure &failure) {
            spdlog::warn("event=connect_failed server={} connection={} error={}", settings_.vm,
                         settings_.id, logValue(failure.message));
            send(database_, ConnectionFailed{settings_.id, failure});
            quit();
        },
        [this] {
            send(database_,
                 ConnectionFailed{settings_.id,
                                  {ErrorCode::Internal, Verdict::DidNotRun, "connect failed"}});
            quit();
        });
}

void BackendConnection::run(const RunRequest &message)
{
    const auto begin = clock_->now();
    RequestFinished finished;
    finished.id = message.id;
    finished.connectionId = settings_.id;
    finished.reply = runOn(message.request);
    finished.usable = connection_ && connection_->isUsable();
    finished.inTransaction = finished.usable && executor_->hasOpenTransaction();
    lastUsed_ = clock_->now();
    finished.busy = lastUsed_ - begin;
    ++requests_;
    const bool usable = finished.usable;
    send(database_, std::move(finished));
    if (!usable) {
        spdlog::warn("event=connection_unusable server={} connection={}", settings_.vm,
                     settings_.id);
        quit();
    }
}

StatementReply BackendConnection::runOn(const StatementRequest &request)
{
    StatementReply reply;
    const auto now = clock_->now();
    if (!executor_) {
        reply.outcome = Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun, "not connected"};
    } else if (now >= request.deadline) {
        reply.outcome = Failure{ErrorCode::DeadlineExceeded, Verdict::DidNotRun,
                                "deadline passed before the request ran"};
    } else if (auto failure = testIfIdle(now)) {
        reply.outcome = std::move(*failure);
    } else {
        reply = executor_->run(request, std::time(nullptr));
    }
    return reply;
}

std::optional<Failure> BackendConnection::testIfIdle(TimePoint now)
{
    if (now - lastUsed_ <= settings_.testAfterIdle)
        return std::nullopt;
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Failure>> {
            BOOST_LEAF_CHECK(connection_->execute("SELECT 1", {}, now + settings_.testTimeout));
            return std::nullopt;
        },
        [this](const Failure &failure) -> std::optional<Failure> {
            connection_->close();
            return Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun,
                           "idle connection failed its test: " + failure.message};
        },
        [this]() -> std::optional<Failure> {
            connection_->close();
            return Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun,
                           "idle connection failed its test"};
        });
}

StateDump BackendConnection::dumpState() const
{
    boost::json::object state;
    state["connection"] = settings_.id;
    state["vm"] = settings_.vm;
    state["usable"] = connection_ && connection_->isUsable();
    state["in_transaction"] = executor_ && executor_->hasOpenTransaction();
    state["requests"] = requests_;
    return StateDump{std::move(state)};
}

} // namespace shallotwalk
