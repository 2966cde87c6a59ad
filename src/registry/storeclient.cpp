#include "registry/storeclient.h"

#include "supervision/logvalue.h"
#include "supervision/messages.h"
#include "wire/storecodec.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusRequestTimeout = 408;

/// True for answers that rule out any effect of the request.
bool isRejection(unsigned status)
{
    return status >= 400 && status < 500 && status != statusRequestTimeout;
}

std::string statusText(const HttpResponse &response)
{
    return "HTTP status " + std::to_string(response.status) + ": " + response.body.substr(0, 200);
}

} // namespace

StoreClient::StoreClient(caf::actor_config &config, StoreClientSettings settings,
                         std::shared_ptr<const Clock> clock)
    : caf::event_based_actor(config)
    , settings_(std::move(settings))
    , clock_(std::move(clock))
{
    for (const auto &endpoint : settings_.endpoints)
        clients_.emplace_back(endpoint, settings_.bodyLimit);
}

caf::behavior StoreClient::make_behavior()
{
    return {
        [this](const StoreRead &message) { return read(message); },
        [this](const StoreCompareAndSwap &message) { return swap(message); },
        [this](StateDumpRequest) { return StateDump{state()}; },
        [this](DrainRequest) { quit(); },
    };
}

StoreClient::Outcome StoreClient::call(std::string_view path, std::string_view body,
                                       Repetition repetition)
{
    ++calls_;
    const auto end = clock_->now() + settings_.callTimeout;
    Outcome outcome;
    for (std::size_t tried = 0; tried < clients_.size(); ++tried) {
        const auto now = clock_->now();
        if (now >= end)
            break;
        // An unresponsive endpoint must leave time for the others.
        const auto left = static_cast<std::int64_t>(clients_.size() - tried);
        const auto deadline =
            repetition == Repetition::UntilAnswered ? now + (end - now) / left : end;
        outcome = callEndpoint(path, body, deadline);
        if (outcome.response.status == statusOk || isRejection(outcome.response.status))
            return outcome;
        if (outcome.response.status != 0)
            outcome.error = statusText(outcome.response);
        const auto failed = current_;
        current_ = (current_ + 1) % clients_.size();
        lastError_ = outcome.error;
        spdlog::debug("event=store_call_failed endpoint={}:{} error={}",
                      settings_.endpoints[failed].host, settings_.endpoints[failed].port,
                      logValue(outcome.error));
        if (repetition == Repetition::UntilSent && outcome.verdict != Verdict::DidNotRun)
            break;
    }
    ++failedCalls_;
    return outcome;
}

StoreClient::Outcome StoreClient::callEndpoint(std::string_view path, std::string_view body,
                                               TimePoint deadline)
{
    auto &client = clients_[current_];
    return leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            BOOST_LEAF_AUTO(response,
                            client.request("POST", path, body,
                                           clock_->now() + settings_.connectTimeout, deadline));
            return Outcome{std::move(response), Verdict::MayHaveRun, {}};
        },
        [](const Failure &failure) {
            return Outcome{noResponse(), failure.verdict, failure.message};
        },
        [] {
            return Outcome{noResponse(), Verdict::MayHaveRun, "unknown error"};
        });
}

HttpResponse StoreClient::noResponse()
{
    HttpResponse response;
    response.status = 0;
    return response;
}

StoreReadReply StoreClient::read(const StoreRead &message)
{
    StoreReadReply reply;
    if (expired(message.deadline)) {
        reply.error = "the read's deadline passed before it was sent";
        return reply;
    }
    const auto outcome = call(storeRangePath, encodeRangeRequest(message.key, message.prefix),
                              Repetition::UntilAnswered);
    if (outcome.response.status != statusOk) {
        reply.error = outcome.response.status == 0 ? outcome.error : statusText(outcome.response);
        return reply;
    }
    return leaf::try_handle_all(
        [&]() -> Result<StoreReadReply> {
            BOOST_LEAF_AUTO(range, decodeRangeResponse(outcome.response.body));
            return StoreReadReply{true, {}, range.revision, std::move(range.values)};
        },
        [](const Failure &failure) {
            return StoreReadReply{false, failure.message, 0, {}};
        },
        [] {
            return StoreReadReply{false, "unknown error", 0, {}};
        });
}

StoreCompareAndSwapReply StoreClient::swap(const StoreCompareAndSwap &message)
{
    StoreCompareAndSwapReply reply;
    if (expired(message.deadline)) {
        reply.status = SwapStatus::Refused;
        reply.error = "the swap's deadline passed before it was sent";
        return reply;
    }
    const auto outcome =
        call(storeTransactionPath,
             encodeSwapRequest(message.key, message.value, message.expectedRevision),
             Repetition::UntilSent);
    if (outcome.response.status != statusOk) {
        const bool refused =
            outcome.verdict == Verdict::DidNotRun || isRejection(outcome.response.status);
        reply.status = refused ? SwapStatus::Refused : SwapStatus::Unknown;
        reply.error = outcome.response.status == 0 ? outcome.error : statusText(outcome.response);
        return reply;
    }
    return leaf::try_handle_all(
        [&]() -> Result<StoreCompareAndSwapReply> {
            BOOST_LEAF_AUTO(result, decodeSwapResponse(outcome.response.body));
            reply.status = result.succeeded ? SwapStatus::Swapped : SwapStatus::Conflict;
            reply.revision = result.revision;
            if (!result.current.empty())
                reply.current = std::move(result.current.front());
            return reply;
        },
        [&](const Failure &failure) {
            reply.error = failure.message;
            return reply;
        },
        [&] { return reply; });
}

bool StoreClient::expired(TimePoint deadline) const
{
    return deadline != TimePoint{} && clock_->now() >= deadline;
}

boost::json::value StoreClient::state() const
{
    const auto &endpoint = settings_.endpoints[current_];
    return boost::json::object{
        {"endpoint", toString(endpoint)},
        {"calls", calls_},
        {"failedCalls", failedCalls_},
        {"lastError", lastError_},
    };
}

} // namespace shallotwalk
