#include "wire/exchangecodec.h"

#include "wire/gen-cpp/exchange_types.h"
#include "wire/thriftpayload.h"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr std::int32_t messageVersion = 1;
/// Latest accepted time: a century after the origin of a clock. Sums with it can't overflow.
constexpr std::int64_t latestTime = 100LL * 366 * 24 * 3600 * 1'000'000;
constexpr std::size_t maxNameBytes = 256;

boost::leaf::error_id malformed(std::string_view message)
{
    return boost::leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                          "exchange message: " + std::string(message)});
}

std::int64_t toWire(TimePoint time)
{
    return time.time_since_epoch().count();
}

TimePoint toTime(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

bool isTime(std::int64_t microseconds)
{
    return microseconds >= 0 && microseconds <= latestTime;
}

/// Returns why \a wire can't be taken; empty if it can.
std::string_view problemOf(const exchangewire::ExchangeMessage &wire)
{
    if (wire.version != messageVersion)
        return "another version";
    if (wire.sender.empty() || wire.sender.size() > maxNameBytes)
        return "no name of the sender";
    if ((wire.__isset.probe && !isTime(wire.probe))
        || (wire.__isset.echoedProbe && !isTime(wire.echoedProbe))
        || (wire.__isset.echoReceivedAt && !isTime(wire.echoReceivedAt)))
        return "a time out of range";
    if (wire.__isset.echoedProbe != wire.__isset.echoReceivedAt)
        return "half of an echo";
    const auto count = wire.services.size();
    if (wire.terms.size() != count || wire.positions.size() != count || wire.sentAt.size() != count)
        return "lists of different lengths";
    const auto acknowledged = wire.acknowledgedTerms.size();
    if (wire.acknowledgedPositions.size() != acknowledged
        || (acknowledged != 0 && acknowledged != count))
        return "lists of different lengths";
    for (std::size_t i = 0; i < acknowledged; ++i) {
        if (wire.acknowledgedTerms[i] < 0 || wire.acknowledgedPositions[i] < 0)
            return "a position out of range";
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (wire.services[i].empty() || wire.services[i].size() > maxNameBytes)
            return "no name of a group";
        if (wire.terms[i] < 0 || wire.positions[i] < 0 || !isTime(wire.sentAt[i]))
            return "a position or time out of range";
    }
    return {};
}

} // namespace

Result<std::string> encodeExchangeMessage(const ExchangeMessage &message)
{
    exchangewire::ExchangeMessage wire;
    wire.version = messageVersion;
    wire.sender = message.sender;
    wire.incarnation = static_cast<std::int64_t>(message.incarnation);
    if (message.probe)
        wire.__set_probe(toWire(*message.probe));
    if (message.echo) {
        wire.__set_echoedProbe(toWire(message.echo->probe));
        wire.__set_echoReceivedAt(toWire(message.echo->receivedAt));
    }
    for (const auto &watermark : message.watermarks) {
        wire.services.push_back(watermark.service);
        wire.terms.push_back(static_cast<std::int32_t>(watermark.position.term));
        wire.positions.push_back(static_cast<std::int64_t>(watermark.position.lsn));
        wire.sentAt.push_back(toWire(watermark.sentAt));
    }
    const auto tellsAcknowledged = [](const SharedWatermark &watermark) {
        return watermark.acknowledged != Position();
    };
    if (std::any_of(message.watermarks.begin(), message.watermarks.end(), tellsAcknowledged)) {
        for (const auto &watermark : message.watermarks) {
            const auto &[term, lsn] = watermark.acknowledged;
            wire.acknowledgedTerms.push_back(static_cast<std::int32_t>(term));
            wire.acknowledgedPositions.push_back(static_cast<std::int64_t>(lsn));
        }
    }
    wire.relayed = message.relayed;
    try {
        auto bytes = toThriftPayload(wire);
        if (bytes.size() > maxExchangeBytes)
            return malformed("too long");
        return bytes;
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

Result<ExchangeMessage> decodeExchangeMessage(std::span<const char> payload)
{
    if (payload.empty() || payload.size() > maxExchangeBytes)
        return malformed("empty or too long");
    exchangewire::ExchangeMessage wire;
    try {
        fromThriftPayload(payload, wire);
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
    if (const auto problem = problemOf(wire); !problem.empty())
        return malformed(problem);
    ExchangeMessage message;
    message.sender = std::move(wire.sender);
    message.incarnation = static_cast<std::uint64_t>(wire.incarnation);
    if (wire.__isset.probe)
        message.probe = toTime(wire.probe);
    if (wire.__isset.echoedProbe)
        message.echo = ClockEcho{toTime(wire.echoedProbe), toTime(wire.echoReceivedAt)};
    message.relayed = wire.relayed;
    message.watermarks.reserve(wire.services.size());
    for (std::size_t i = 0; i < wire.services.size(); ++i) {
        message.watermarks.push_back(
            {std::move(wire.services[i]),
             {static_cast<Term>(wire.terms[i]), static_cast<LogPosition>(wire.positions[i])},
             toTime(wire.sentAt[i])});
        if (!wire.acknowledgedTerms.empty()) {
            message.watermarks.back().acknowledged = {
                static_cast<Term>(wire.acknowledgedTerms[i]),
                static_cast<LogPosition>(wire.acknowledgedPositions[i])};
        }
    }
    return message;
}

} // namespace shallotwalk
