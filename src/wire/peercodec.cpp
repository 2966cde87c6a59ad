#include "wire/peercodec.h"

#include "wire/controlcodec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>

namespace shallotwalk {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::transport::TMemoryBuffer;
using shallotwalk::fromWire;
using shallotwalk::toWire;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

/// Elements of one container. A list of a million empty strings takes 32 MB.
constexpr std::size_t maxContainerElements = 1'000'000;
/// Rows of a result without columns, which take no bytes in the message.
constexpr std::size_t maxEmptyRows = 65'536;
/// The messages nest four structs deep; the rest is left for newer versions.
constexpr int maxNesting = 16;
/// Longest remaining time and duration that is accepted, so that sums can't overflow.
constexpr std::int64_t longestDuration = 24LL * 3600 * 1'000'000;

Failure malformed(std::string message)
{
    return {ErrorCode::BadRequest, Verdict::DidNotRun, std::move(message)};
}

Duration boundedDuration(std::int64_t microseconds)
{
    return Duration(std::clamp<std::int64_t>(microseconds, 0, longestDuration));
}

ErrorCode errorCodeFromString(std::string_view name)
{
    for (int code = 0; code < static_cast<int>(ErrorCode::Internal); ++code) {
        if (toString(static_cast<ErrorCode>(code)) == name)
            return static_cast<ErrorCode>(code);
    }
    return ErrorCode::Internal; // Also for codes of a newer version.
}

peerwire::Position toWire(Position position)
{
    peerwire::Position wire;
    wire.term = static_cast<std::int32_t>(position.term);
    wire.lsn = static_cast<std::int64_t>(position.lsn);
    return wire;
}

Position fromWire(const peerwire::Position &wire)
{
    return {static_cast<Term>(wire.term), static_cast<LogPosition>(wire.lsn)};
}

void append(peerwire::Values &wire, const std::optional<std::string> &value)
{
    if (!value)
        wire.nulls.push_back(static_cast<std::int32_t>(wire.values.size()));
    wire.values.push_back(value.value_or(std::string()));
}

std::vector<std::optional<std::string>> fromWire(peerwire::Values &wire)
{
    std::vector<std::optional<std::string>> values;
    values.reserve(wire.values.size());
    for (auto &value : wire.values)
        values.emplace_back(std::move(value));
    for (const auto index : wire.nulls) {
        require(index >= 0 && static_cast<std::size_t>(index) < values.size(),
                "null outside of the values");
        values[static_cast<std::size_t>(index)].reset();
    }
    return values;
}

peerwire::Hello toWire(const Hello &hello)
{
    peerwire::Hello wire;
    wire.vm = hello.vm;
    wire.dataCentre = hello.dataCentre;
    wire.protocolVersion = hello.protocolVersion;
    if (!hello.nonce.empty())
        wire.__set_nonce(hello.nonce);
    if (!hello.proof.empty())
        wire.__set_proof(hello.proof);
    return wire;
}

Hello fromWire(peerwire::Hello &wire)
{
    return {std::move(wire.vm), std::move(wire.dataCentre), wire.protocolVersion,
            std::move(wire.nonce), std::move(wire.proof)};
}

peerwire::Forward toWire(const Forward &forward, TimePoint now)
{
    const auto &request = forward.request;
    peerwire::Forward wire;
    wire.requestId = static_cast<std::int64_t>(forward.requestId);
    wire.remaining = std::max(request.deadline - now, Duration(0)).count();
    wire.callerRequestId = request.requestId;
    wire.caller = request.caller;
    wire.serviceName = request.service;
    wire.database = request.database;
    wire.operation = static_cast<std::int32_t>(request.operation);
    wire.isWrite = request.access == Access::Write;
    wire.sql = request.sql;
    for (const auto &parameter : request.parameters)
        append(wire.parameters, parameter);
    if (request.requestKey)
        wire.__set_requestKey(*request.requestKey);
    if (request.transaction)
        wire.__set_transaction(*request.transaction);
    for (const auto &[database, position] : request.session.positions())
        wire.session.emplace(database, toWire(position));
    if (request.session.isIncomplete())
        wire.__set_sessionIncomplete(true);
    wire.route = request.route;
    wire.pool = request.pool;
    return wire;
}

Forward fromWire(peerwire::Forward &wire, TimePoint now)
{
    require(wire.operation >= 0 && wire.operation <= static_cast<int>(Operation::Rollback),
            "unknown operation");
    Forward forward;
    forward.requestId = static_cast<std::uint64_t>(wire.requestId);
    auto &request = forward.request;
    request.deadline = now + boundedDuration(wire.remaining);
    request.requestId = std::move(wire.callerRequestId);
    request.caller = std::move(wire.caller);
    request.service = std::move(wire.serviceName);
    request.database = std::move(wire.database);
    request.operation = static_cast<Operation>(wire.operation);
    request.access = wire.isWrite ? Access::Write : Access::Read;
    request.sql = std::move(wire.sql);
    request.parameters = fromWire(wire.parameters);
    if (wire.__isset.requestKey)
        request.requestKey = std::move(wire.requestKey);
    if (wire.__isset.transaction)
        request.transaction = std::move(wire.transaction);
    for (const auto &[database, position] : wire.session)
        request.session.reset(database, fromWire(position));
    if (wire.sessionIncomplete)
        request.session.markIncomplete();
    request.route = std::move(wire.route);
    request.pool = std::move(wire.pool);
    return forward;
}

peerwire::Result toWire(const StatementResult &result)
{
    peerwire::Result wire;
    wire.columns = result.columns;
    wire.rowCount = static_cast<std::int32_t>(result.rows.size());
    require(!result.columns.empty() || result.rows.size() <= maxEmptyRows, "too many empty rows");
    wire.cells.values.reserve(result.rows.size() * result.columns.size());
    for (const auto &row : result.rows) {
        require(row.size() == result.columns.size(), "row and columns differ in size");
        for (const auto &cell : row)
            append(wire.cells, cell);
    }
    wire.affectedRows = result.affectedRows;
    wire.position = toWire(result.position);
    wire.server = result.server;
    wire.fromReplica = result.fromReplica;
    wire.replayed = result.replayed;
    if (result.transaction)
        wire.__set_transaction(*result.transaction);
    return wire;
}

StatementResult fromWire(peerwire::Result &wire)
{
    StatementResult result;
    result.columns = std::move(wire.columns);
    auto cells = fromWire(wire.cells);
    const auto width = result.columns.size();
    const auto rows = static_cast<std::size_t>(std::max(wire.rowCount, 0));
    require(wire.rowCount >= 0 && rows * width == cells.size(),
            "cells don't match rows and columns");
    require(width > 0 || rows <= maxEmptyRows, "too many empty rows");
    result.rows.reserve(rows);
    for (auto cell = cells.begin(); result.rows.size() < rows;) {
        const auto end = cell + static_cast<std::ptrdiff_t>(width);
        result.rows.emplace_back(std::make_move_iterator(cell), std::make_move_iterator(end));
        cell = end;
    }
    result.affectedRows = wire.affectedRows;
    result.position = fromWire(wire.position);
    result.server = std::move(wire.server);
    result.fromReplica = wire.fromReplica;
    result.replayed = wire.replayed;
    if (wire.__isset.transaction)
        result.transaction = std::move(wire.transaction);
    return result;
}

peerwire::ForwardReply toWire(const ForwardReply &message)
{
    const auto &reply = message.reply;
    peerwire::ForwardReply wire;
    wire.requestId = static_cast<std::int64_t>(message.requestId);
    if (const auto *failure = std::get_if<Failure>(&reply.outcome)) {
        peerwire::Failure encoded;
        encoded.code = toString(failure->code);
        encoded.verdict = toString(failure->verdict);
        encoded.message = failure->message;
        wire.__set_failure(encoded);
    } else {
        wire.__set_result(toWire(std::get<StatementResult>(reply.outcome)));
    }
    if (reply.resetPosition)
        wire.__set_resetPosition(toWire(*reply.resetPosition));
    wire.ownerHint = reply.ownerHint;
    return wire;
}

ForwardReply fromWire(peerwire::ForwardReply &wire)
{
    require(wire.__isset.result != wire.__isset.failure, "reply without a single outcome");
    ForwardReply message;
    message.requestId = static_cast<std::uint64_t>(wire.requestId);
    if (wire.__isset.result) {
        message.reply.outcome = fromWire(wire.result);
    } else {
        const auto verdict = verdictFromString(wire.failure.verdict);
        message.reply.outcome =
            Failure{errorCodeFromString(wire.failure.code), verdict.value_or(Verdict::MayHaveRun),
                    std::move(wire.failure.message)};
    }
    if (wire.__isset.resetPosition)
        message.reply.resetPosition = fromWire(wire.resetPosition);
    message.reply.ownerHint = std::move(wire.ownerHint);
    return message;
}

peerwire::PromiseRequest toWire(const PromiseRequest &request)
{
    peerwire::PromiseRequest wire;
    wire.database = request.database;
    wire.epoch = static_cast<std::int64_t>(request.epoch);
    wire.owner = request.owner;
    wire.sequence = static_cast<std::int64_t>(request.sequence);
    wire.duration = request.duration.count();
    wire.release = request.release;
    wire.renewal = request.renewal;
    wire.query = request.query;
    return wire;
}

PromiseRequest fromWire(peerwire::PromiseRequest &wire)
{
    return {std::move(wire.database),
            static_cast<Epoch>(wire.epoch),
            std::move(wire.owner),
            static_cast<std::uint64_t>(wire.sequence),
            boundedDuration(wire.duration),
            wire.release,
            wire.renewal,
            wire.query};
}

peerwire::PromiseReply toWire(const PromiseReply &reply)
{
    peerwire::PromiseReply wire;
    wire.database = reply.database;
    wire.candidate = reply.candidate;
    wire.epoch = static_cast<std::int64_t>(reply.epoch);
    wire.sequence = static_cast<std::int64_t>(reply.sequence);
    wire.granted = reply.granted;
    wire.highestEpoch = static_cast<std::int64_t>(reply.highestEpoch);
    wire.remaining = reply.remaining.count();
    return wire;
}

PromiseReply fromWire(peerwire::PromiseReply &wire)
{
    return {std::move(wire.database),
            std::move(wire.candidate),
            static_cast<Epoch>(wire.epoch),
            static_cast<std::uint64_t>(wire.sequence),
            wire.granted,
            static_cast<Epoch>(wire.highestEpoch),
            boundedDuration(wire.remaining)};
}

/// Sets the field of a wire message for each kind of core message.
struct FieldSetter
{
    peerwire::PeerMessage &wire;
    TimePoint now;

    void operator()(const Heartbeat &) const {}
    void operator()(const Hello &message) const { wire.__set_hello(toWire(message)); }
    void operator()(const Forward &message) const { wire.__set_forward(toWire(message, now)); }
    void operator()(const ForwardReply &message) const { wire.__set_forwardReply(toWire(message)); }
    void operator()(const PromiseRequest &message) const
    {
        wire.__set_promiseRequest(toWire(message));
    }
    void operator()(const PromiseReply &message) const { wire.__set_promiseReply(toWire(message)); }
    void operator()(const MembershipMessage &message) const
    {
        switch (message.kind) {
        case MembershipKind::Probe:
            wire.__set_probe(toWire(message));
            break;
        case MembershipKind::Ack:
            wire.__set_probeAck(toWire(message));
            break;
        case MembershipKind::IndirectProbe:
            wire.__set_indirectProbe(toWire(message));
            break;
        }
    }
    void operator()(const HeadRequest &) const { wire.__set_headRequest({}); }
    void operator()(const Head &message) const
    {
        peerwire::Head head;
        head.version = static_cast<std::int64_t>(message.version);
        head.content = message.content;
        wire.__set_head(head);
    }
    void operator()(const PartRequest &message) const
    {
        peerwire::PartRequest request;
        request.hash = message.hash;
        wire.__set_partRequest(request);
    }
    void operator()(const Part &message) const
    {
        peerwire::Part part;
        part.hash = message.hash;
        part.content = message.content;
        wire.__set_part(part);
    }
    void operator()(const OwnerUpdate &message) const
    {
        peerwire::OwnerUpdate update;
        update.database = message.database;
        update.epoch = static_cast<std::int64_t>(message.epoch);
        update.owner = message.owner;
        wire.__set_ownerUpdate(update);
    }
    void operator()(const FeedRequest &message) const { wire.__set_feedRequest(toWire(message)); }
    void operator()(const FeedReply &message) const { wire.__set_feedReply(toWire(message)); }
};

PeerMessage fromWire(peerwire::PeerMessage &wire, TimePoint now)
{
    const auto &set = wire.__isset;
    if (set.forward)
        return fromWire(wire.forward, now);
    if (set.forwardReply)
        return fromWire(wire.forwardReply);
    if (set.promiseRequest)
        return fromWire(wire.promiseRequest);
    if (set.promiseReply)
        return fromWire(wire.promiseReply);
    if (set.probe)
        return fromWire(wire.probe, MembershipKind::Probe);
    if (set.probeAck)
        return fromWire(wire.probeAck, MembershipKind::Ack);
    if (set.indirectProbe)
        return fromWire(wire.indirectProbe, MembershipKind::IndirectProbe);
    if (set.hello)
        return fromWire(wire.hello);
    if (set.headRequest)
        return HeadRequest{};
    if (set.head)
        return Head{static_cast<ConfigurationVersion>(wire.head.version),
                    std::move(wire.head.content)};
    if (set.partRequest)
        return PartRequest{std::move(wire.partRequest.hash)};
    if (set.part)
        return Part{std::move(wire.part.hash), std::move(wire.part.content)};
    if (set.ownerUpdate)
        return OwnerUpdate{std::move(wire.ownerUpdate.database),
                           static_cast<Epoch>(wire.ownerUpdate.epoch),
                           std::move(wire.ownerUpdate.owner)};
    if (set.feedRequest)
        return fromWire(wire.feedRequest);
    if (set.feedReply)
        return fromWire(wire.feedReply);
    return Heartbeat{};
}

std::array<char, peerFrameHeaderBytes> frameHeader(std::size_t length)
{
    return {static_cast<char>(length >> 24U), static_cast<char>(length >> 16U),
            static_cast<char>(length >> 8U), static_cast<char>(length)};
}

} // namespace

Result<std::string> encodePeerFrame(const PeerMessage &message, TimePoint now)
{
    try {
        peerwire::PeerMessage wire;
        std::visit(FieldSetter{wire, now}, message);
        auto buffer = std::make_shared<TMemoryBuffer>();
        Protocol protocol(buffer);
        wire.write(&protocol);
        std::uint8_t *bytes = nullptr;
        std::uint32_t size = 0;
        buffer->getBuffer(&bytes, &size);
        if (size > maxPeerFrameBytes)
            return boost::leaf::new_error(malformed("peer message exceeds 4 MB"));
        std::string frame;
        frame.reserve(peerFrameHeaderBytes + size);
        const auto header = frameHeader(size);
        frame.append(header.data(), header.size());
        frame.append(reinterpret_cast<const char *>(bytes), size);
        return frame;
    } catch (const std::exception &error) {
        return boost::leaf::new_error(malformed(std::string("peer message: ") + error.what()));
    }
}

Result<PeerMessage> decodePeerPayload(std::span<const std::byte> payload, TimePoint now)
{
    if (payload.empty() || payload.size() > maxPeerFrameBytes)
        return boost::leaf::new_error(malformed("peer message is empty or exceeds 4 MB"));
    try {
        const auto size = static_cast<int>(payload.size());
        auto configuration = std::make_shared<TConfiguration>(size, size, maxNesting);
        // TMemoryBuffer takes a mutable pointer but doesn't write in OBSERVE mode.
        auto *bytes = const_cast<std::byte *>(payload.data());
        auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(bytes),
                                                      static_cast<std::uint32_t>(size),
                                                      TMemoryBuffer::OBSERVE, configuration);
        // An element and a string's character take at least one byte each.
        const auto elements = std::min(payload.size(), maxContainerElements);
        Protocol protocol(buffer, size, static_cast<std::int32_t>(elements));
        protocol.setRecurisionLimit(maxNesting);
        peerwire::PeerMessage wire;
        wire.read(&protocol);
        return fromWire(wire, now);
    } catch (const std::exception &error) {
        return boost::leaf::new_error(malformed(std::string("peer message: ") + error.what()));
    }
}

Result<std::optional<std::string_view>> findPeerFrame(std::string_view input, std::size_t maxBytes)
{
    if (input.size() < peerFrameHeaderBytes)
        return std::optional<std::string_view>();
    std::size_t length = 0;
    for (std::size_t index = 0; index < peerFrameHeaderBytes; ++index)
        length = length << 8U | static_cast<std::uint8_t>(input[index]);
    if (length > maxBytes)
        return boost::leaf::new_error(malformed("peer frame exceeds its size limit"));
    if (input.size() - peerFrameHeaderBytes < length)
        return std::optional<std::string_view>();
    return std::optional<std::string_view>(input.substr(peerFrameHeaderBytes, length));
}

} // namespace shallotwalk
