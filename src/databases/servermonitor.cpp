#include "databases/servermonitor.h"

#include "databases/schema.h"
#include "supervision/logvalue.h"

#include <boost/leaf/handle_errors.hpp>

#include <caf/allowed_unsafe_message_type.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace shallotwalk {

namespace {

/// Message of a ServerMonitor to itself, once per interval.
struct SampleDue
{
};

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SampleDue)

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

/// The message of a failed operation, or "" after success, which \a operation reports itself.
template<class Operation>
std::string errorOf(Operation operation)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(operation());
            return std::string();
        },
        [](const Failure &failure) { return failure.message; },
        [] { return std::string("unknown error"); });
}

} // namespace

ServerMonitor::ServerMonitor(caf::actor_config &config, ServerMonitorSettings settings,
                             std::shared_ptr<SqlConnector> connector,
                             std::shared_ptr<const Clock> clock, caf::actor database)
    : caf::event_based_actor(config)
    , settings_(std::move(settings))
    , connector_(std::move(connector))
    , clock_(std::move(clock))
    , database_(std::move(database))
{
    settings_.target.readOnlyByDefault = false;
    settings_.target.applicationName = applicationName(settings_.pool, settings_.epoch);
    set_down_handler([this](caf::down_msg &) { quit(); });
    monitor(database_);
}

caf::behavior ServerMonitor::make_behavior()
{
    send(this, SampleDue{});
    return {
        [this](SampleDue) {
            const auto begin = clock_->now();
            sample();
            const auto spent = clock_->now() - begin;
            delayed_send(this, std::max(settings_.interval - spent, Duration(0)), SampleDue{});
        },
        [this](const SampleNow &) { sample(); },
        [this](const PromoteServer &order) { promote(order); },
        [this](const RecordTerm &message) { record(message.row); },
        [this](DrainRequest) { quit(); },
        [this](StateDumpRequest) { return dumpState(); },
    };
}

Result<void> ServerMonitor::connect(TimePoint deadline)
{
    if (connection_ && connection_->isUsable())
        return {};
    connection_.reset();
    if (clock_->now() < nextConnect_) {
        return leaf::new_error(Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun,
                                       "waiting before the next connect: " + connectError_});
    }
    return leaf::try_handle_some(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(connection_, connector_->connect(settings_.target, deadline));
            BOOST_LEAF_CHECK(terminateFormerOwners(deadline));
            backoff_ = Duration(0);
            return {};
        },
        [this](const Failure &failure, const leaf::error_info &error) -> Result<void> {
            connection_.reset();
            delayNextConnect(failure.message);
            return error.error();
        });
}

void ServerMonitor::delayNextConnect(const std::string &reason)
{
    connectError_ = reason;
    backoff_ = std::clamp(backoff_ * 2, std::min(settings_.interval, settings_.longestBackoff),
                          settings_.longestBackoff);
    nextConnect_ = clock_->now() + backoff_;
}

Result<ServerSample> ServerMonitor::trySample()
{
    BOOST_LEAF_CHECK(connect(clock_->now() + settings_.sampleTimeout));
    // Taken before the query is sent, so that the state is at least as new as its time.
    const auto sampledAt = clock_->now();
    BOOST_LEAF_AUTO(
        sample,
        Schema(*connection_).sample(settings_.contactTime, sampledAt + settings_.sampleTimeout));
    sample.status.sampledAt = sampledAt;
    return sample;
}

void ServerMonitor::sample()
{
    ServerSample sample;
    sample.status.sampledAt = clock_->now();
    auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(sample, trySample());
        return {};
    });
    if (!error.empty() && lastError_.empty())
        spdlog::warn("event=sample_failed pool={} server={} error={}", settings_.pool, settings_.vm,
                     logValue(error));
    lastError_ = error;
    sample.status.vm = settings_.vm;
    sample.error = std::move(error);
    ++samples_;
    send(database_, std::move(sample));
}

void ServerMonitor::promote(const PromoteServer &order)
{
    PromotionFinished finished;
    finished.order = order.order;
    finished.vm = settings_.vm;
    const auto deadline = clock_->now() + settings_.operationTimeout;
    finished.error = errorOf([&]() -> Result<void> {
        nextConnect_ = TimePoint{};
        BOOST_LEAF_ASSIGN(finished.outcome, tryPromote(order, deadline));
        return {};
    });
    spdlog::warn("event=promotion pool={} server={} epoch={} ordered={} error={}", settings_.pool,
                 settings_.vm, settings_.epoch, finished.outcome == PromotionOutcome::Ordered,
                 logValue(finished.error));
    send(database_, std::move(finished));
    sample();
}

Result<PromotionOutcome> ServerMonitor::tryPromote(const PromoteServer &order, TimePoint deadline)
{
    BOOST_LEAF_CHECK(connect(deadline));
    BOOST_LEAF_AUTO(ordered, Schema(*connection_).promote(order.expected.lsn, deadline));
    return ordered ? PromotionOutcome::Ordered : PromotionOutcome::Rejected;
}

void ServerMonitor::record(const TermRow &row)
{
    DatabasePrepared prepared;
    prepared.vm = settings_.vm;
    const auto deadline = clock_->now() + settings_.operationTimeout;
    prepared.error = errorOf([&]() -> Result<void> {
        nextConnect_ = TimePoint{};
        BOOST_LEAF_ASSIGN(prepared.terms, tryRecord(row, deadline));
        return {};
    });
    prepared.ok = prepared.error.empty();
    if (!prepared.ok)
        spdlog::warn("event=term_not_recorded pool={} server={} epoch={} term={} error={}",
                     settings_.pool, settings_.vm, settings_.epoch, row.term,
                     logValue(prepared.error));
    send(database_, std::move(prepared));
    sample();
}

Result<std::vector<TermRow>> ServerMonitor::tryRecord(const TermRow &row, TimePoint deadline)
{
    BOOST_LEAF_CHECK(connect(deadline));
    BOOST_LEAF_CHECK(terminateFormerOwners(deadline));
    Schema schema(*connection_);
    BOOST_LEAF_AUTO(sample, schema.sample(settings_.contactTime, deadline));
    if (sample.status.inRecovery || sample.status.received.term != row.term) {
        return leaf::new_error(Failure{ErrorCode::Superseded, Verdict::DidNotRun,
                                       "the server isn't the primary of this term"});
    }
    BOOST_LEAF_CHECK(schema.create(deadline));
    BOOST_LEAF_CHECK(schema.insertTerm(row, deadline));
    return schema.terms(deadline);
}

Result<void> ServerMonitor::terminateFormerOwners(TimePoint deadline)
{
    Schema schema(*connection_);
    BOOST_LEAF_AUTO(found, schema.terminateLowerEpochs(settings_.pool, settings_.epoch, deadline));
    if (found > 0) {
        BOOST_LEAF_ASSIGN(found,
                          schema.terminateLowerEpochs(settings_.pool, settings_.epoch, deadline));
    }
    if (found > 0) {
        return leaf::new_error(Failure{ErrorCode::NoServer, Verdict::DidNotRun,
                                       "connections of lower epochs are still open"});
    }
    return {};
}

StateDump ServerMonitor::dumpState() const
{
    boost::json::object state;
    state["vm"] = settings_.vm;
    state["epoch"] = settings_.epoch;
    state["connected"] = connection_ && connection_->isUsable();
    state["samples"] = samples_;
    state["last_error"] = lastError_;
    return StateDump{std::move(state)};
}

} // namespace shallotwalk
