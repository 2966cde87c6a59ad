#include "wire/quotacodec.h"

#include "wire/gen-cpp/quota_types.h"
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
                                          "quota message: " + std::string(message)});
}

bool isTime(std::int64_t microseconds)
{
    return microseconds >= 0 && microseconds <= latestTime;
}

bool isShare(std::int32_t share)
{
    return share >= 0 && share <= static_cast<std::int32_t>(wholeQuota);
}

bool areNames(const std::vector<std::string> &names)
{
    return std::all_of(names.begin(), names.end(), [](const std::string &name) {
        return !name.empty() && name.size() <= maxNameBytes;
    });
}

bool areCounts(const std::vector<std::int32_t> &counts, std::size_t size)
{
    return counts.size() == size
           && std::all_of(counts.begin(), counts.end(), [](auto count) { return count >= 0; });
}

/// Returns why \a wire can't be taken; empty if it can.
std::string_view problemOf(const quotawire::QuotaRequest &wire)
{
    const bool hasEcho = wire.__isset.echoIncarnation;
    if (wire.__isset.echoRepliedAt != hasEcho || wire.__isset.echoAge != hasEcho)
        return "half of an echo";
    if (hasEcho && (!isTime(wire.echoRepliedAt) || !isTime(wire.echoAge)))
        return "a time out of range";
    if (wire.number < 0 || !isShare(wire.share))
        return "a number or share out of range";
    const auto count = wire.teams.size();
    if (!areNames(wire.teams) || !areCounts(wire.needed, count) || !areCounts(wire.expected, count)
        || !areCounts(wire.returned, count))
        return "a demand out of range";
    return {};
}

/// Returns why \a wire can't be taken; empty if it can.
std::string_view problemOf(const quotawire::QuotaReply &wire)
{
    if (wire.number < 0 || !isTime(wire.sentAt) || !isShare(wire.shares))
        return "a number, time or share out of range";
    if (!areNames(wire.teams) || !areCounts(wire.tokens, wire.teams.size()))
        return "a grant out of range";
    return {};
}

quotawire::QuotaRequest toWire(const QuotaRequest &request)
{
    quotawire::QuotaRequest wire;
    wire.number = static_cast<std::int64_t>(request.number);
    if (request.echo) {
        wire.__set_echoIncarnation(static_cast<std::int64_t>(request.echo->incarnation));
        wire.__set_echoRepliedAt(request.echo->repliedAt.time_since_epoch().count());
        wire.__set_echoAge(request.echo->age.count());
    }
    wire.share = static_cast<std::int32_t>(request.share);
    for (const auto &demand : request.demands) {
        wire.teams.push_back(demand.team);
        wire.needed.push_back(static_cast<std::int32_t>(demand.needed));
        wire.expected.push_back(static_cast<std::int32_t>(demand.expected));
        wire.returned.push_back(static_cast<std::int32_t>(demand.returned));
    }
    return wire;
}

quotawire::QuotaReply toWire(const QuotaReply &reply)
{
    quotawire::QuotaReply wire;
    wire.number = static_cast<std::int64_t>(reply.number);
    wire.sentAt = reply.sentAt.time_since_epoch().count();
    wire.resigned = reply.resigned;
    wire.shares = static_cast<std::int32_t>(reply.shares);
    for (const auto &grant : reply.grants) {
        wire.teams.push_back(grant.team);
        wire.tokens.push_back(static_cast<std::int32_t>(grant.tokens));
    }
    return wire;
}

/// Moves the contents of \a wire.
QuotaRequest fromWire(quotawire::QuotaRequest &wire)
{
    QuotaRequest request;
    request.number = static_cast<std::uint64_t>(wire.number);
    if (wire.__isset.echoIncarnation) {
        request.echo = ReceiptEcho{static_cast<std::uint64_t>(wire.echoIncarnation),
                                   TimePoint(Duration(wire.echoRepliedAt)), Duration(wire.echoAge)};
    }
    request.share = static_cast<QuotaShare>(wire.share);
    for (std::size_t i = 0; i < wire.teams.size(); ++i) {
        request.demands.push_back({std::move(wire.teams[i]),
                                   static_cast<std::uint32_t>(wire.needed[i]),
                                   static_cast<std::uint32_t>(wire.expected[i]),
                                   static_cast<std::uint32_t>(wire.returned[i])});
    }
    return request;
}

/// Moves the contents of \a wire.
QuotaReply fromWire(quotawire::QuotaReply &wire)
{
    QuotaReply reply;
    reply.number = static_cast<std::uint64_t>(wire.number);
    reply.sentAt = TimePoint(Duration(wire.sentAt));
    reply.resigned = wire.resigned;
    reply.shares = static_cast<QuotaShare>(wire.shares);
    for (std::size_t i = 0; i < wire.teams.size(); ++i) {
        reply.grants.push_back(
            {std::move(wire.teams[i]), static_cast<std::uint32_t>(wire.tokens[i])});
    }
    return reply;
}

} // namespace

Result<std::string> encodeQuotaMessage(const QuotaMessage &message)
{
    quotawire::QuotaMessage wire;
    wire.version = messageVersion;
    std::visit(
        [&wire](const auto &content) {
            wire.sender = content.sender;
            wire.incarnation = static_cast<std::int64_t>(content.incarnation);
        },
        message);
    if (const auto *request = std::get_if<QuotaRequest>(&message))
        wire.__set_request(toWire(*request));
    else
        wire.__set_reply(toWire(std::get<QuotaReply>(message)));
    try {
        auto bytes = toThriftPayload(wire);
        if (bytes.size() > maxQuotaBytes)
            return malformed("too long");
        return bytes;
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

Result<QuotaMessage> decodeQuotaMessage(std::span<const char> payload)
{
    if (payload.empty() || payload.size() > maxQuotaBytes)
        return malformed("empty or too long");
    quotawire::QuotaMessage wire;
    try {
        fromThriftPayload(payload, wire);
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
    if (wire.version != messageVersion)
        return malformed("another version");
    if (wire.sender.empty() || wire.sender.size() > maxNameBytes)
        return malformed("no name of the sender");
    if (wire.__isset.request == wire.__isset.reply)
        return malformed("neither a request nor a reply");
    const auto problem = wire.__isset.request ? problemOf(wire.request) : problemOf(wire.reply);
    if (!problem.empty())
        return malformed(problem);
    const auto complete = [&wire](auto content) {
        content.sender = std::move(wire.sender);
        content.incarnation = static_cast<std::uint64_t>(wire.incarnation);
        return QuotaMessage(std::move(content));
    };
    if (wire.__isset.request)
        return complete(fromWire(wire.request));
    return complete(fromWire(wire.reply));
}

} // namespace shallotwalk
