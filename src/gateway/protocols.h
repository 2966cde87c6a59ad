#pragma once

#include "core/core.h"
#include "wire/httpclient.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotwalk {

/// A client opens its session.
struct SessionOpening
{
    std::string database;
    std::string user;
};

/// A client ends its session.
struct SessionClosing
{
};

/// Bytes that are no message of the protocol.
struct InvalidMessage
{
    AnswerCode code = AnswerCode::Malformed;
    std::string reason;
    bool fatal = false; ///< The end of the message isn't known, so nothing after it can be read.
};

using ClientMessage =
    std::variant<SessionOpening, SessionStatement, SessionClosing, InvalidMessage>;
using ServerMessage = std::variant<ServerReply, InvalidMessage>;

/// Cuts the bytes of one client into messages. Not thread-safe.
class ClientDecoder
{
public:
    virtual ~ClientDecoder() = default;

    virtual void append(std::span<const char> bytes) = 0;

    /// The next message; empty while it is incomplete, and after a fatal InvalidMessage.
    virtual std::optional<ClientMessage> next() = 0;

    /// Bytes that belong to no returned message yet.
    virtual std::size_t buffered() const = 0;
};

/// Cuts the bytes of one backend server's connection into replies. Not thread-safe.
class ServerDecoder
{
public:
    virtual ~ServerDecoder() = default;

    virtual void append(std::span<const char> bytes) = 0;

    /// The next reply; empty while it is incomplete, and after an InvalidMessage.
    virtual std::optional<ServerMessage> next() = 0;
};

/// Encoding of sessions, towards clients and backend servers. Implementations are immutable and
/// thread-safe.
class SessionProtocol
{
public:
    virtual ~SessionProtocol() = default;

    virtual std::unique_ptr<ClientDecoder> makeClientDecoder() const = 0;
    virtual std::unique_ptr<ServerDecoder> makeServerDecoder() const = 0;

    /// Appends the answer to a statement, or to the opening of a session.
    virtual void encode(const SessionAnswer &answer, std::string &out) const = 0;

    /// Appends the refusal of an opening; the connection is closed after it.
    virtual void encodeRefusal(AnswerCode code, std::string_view text, std::string &out) const = 0;

    /// Appends the opening of a connection to \a server.
    virtual void encodeOpening(const ServerRegistration &server, std::string &out) const = 0;

    virtual void encode(const ServerCommand &command, std::string &out) const = 0;
};

/// A request over HTTP that has not been sent.
struct HttpCall
{
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty: none.
    std::vector<HttpHeader> headers;
    /// From the call until the answer begins to arrive.
    Duration timeout{std::chrono::milliseconds(1000)};
};

/// Part of a listing of the store.
struct StorePage
{
    std::vector<KeyValue> items;
    std::int64_t revision = 0; ///< Of the store.
    bool more = false;
};

/// Changes since a revision.
struct StoreChanges
{
    struct Change
    {
        KeyValue item;
        bool deleted = false;
    };
    std::vector<Change> changes;
    std::int64_t revision = 0; ///< Up to which they are complete.
    bool historyLost = false;  ///< The revision asked for is too old; a listing is needed.
};

/// Outcome of a conditional write.
struct StoreWrite
{
    bool written = false;
    std::int64_t revision = 0;               ///< Of the written key.
    std::optional<KeyValue> conflictingItem; ///< After a conflict: the key, if it exists.
    bool leaseLost = false;                  ///< Nothing was written because the lease has ended.
};

/// Calls of the platform's store. Decoders fail with a Failure if the answer is no success or can't
/// be read. Implementations are immutable and thread-safe.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    /// Lists the keys that begin with \a prefix and follow \a after.
    virtual HttpCall list(std::string_view prefix, std::string_view after) const = 0;
    virtual Result<StorePage> decodePage(const HttpResponse &response) const = 0;

    /// Waits for changes after \a revision, at most \a wait.
    virtual HttpCall watch(std::string_view prefix, std::int64_t revision, Duration wait) const = 0;
    virtual Result<StoreChanges> decodeChanges(const HttpResponse &response) const = 0;

    virtual HttpCall read(std::string_view key) const = 0;
    /// The key; empty if it doesn't exist.
    virtual Result<std::optional<KeyValue>> decodeItem(const HttpResponse &response) const = 0;

    /// Writes a key, if \a expectedRevision is set only while that is its revision (0: absent).
    virtual HttpCall write(std::string_view key, std::string_view value, std::uint64_t lease,
                           std::optional<std::int64_t> expectedRevision) const = 0;
    virtual Result<StoreWrite> decodeWrite(const HttpResponse &response) const = 0;

    /// Deletes a key; answered as a write.
    virtual HttpCall remove(std::string_view key) const = 0;

    virtual HttpCall grantLease(Duration duration) const = 0;
    virtual Result<std::uint64_t> decodeLease(const HttpResponse &response) const = 0;
    virtual HttpCall renewLease(std::uint64_t lease) const = 0;
    /// False if the lease has ended.
    virtual Result<bool> decodeRenewal(const HttpResponse &response) const = 0;
    virtual HttpCall endLease(std::uint64_t lease) const = 0;
};

/// The platform's documents in the store. Implementations are immutable and thread-safe.
class DirectoryFormat
{
public:
    virtual ~DirectoryFormat() = default;

    virtual std::string_view configurationKey() const = 0;
    virtual std::string_view serversPrefix() const = 0;

    /// Fails with a Failure that names the problem.
    virtual Result<OperatorConfiguration> decodeConfiguration(std::string_view value) const = 0;
    virtual Result<ServerRegistration> decodeServer(std::string_view id,
                                                    std::string_view value) const = 0;
};

/// What the platform says to an order to promote a server.
enum class PromotionAnswer {
    Accepted,
    Refused,  ///< An order with a higher fencing token was given, or the server isn't running.
    NoAnswer, ///< It may still be carried out.
};

/// The platform's call that names a new primary. Implementations are immutable and thread-safe.
class PromotionProtocol
{
public:
    virtual ~PromotionProtocol() = default;

    virtual HttpCall promote(std::string_view service, std::string_view server,
                             std::string_view holder, std::int64_t fencingToken) const = 0;
    virtual PromotionAnswer decodeAnswer(const HttpResponse &response) const = 0;
};

/// Everything that depends on the platform's way of speaking. Shared by all actors.
struct GatewayProtocols
{
    std::shared_ptr<const SessionProtocol> sessions;
    std::shared_ptr<const StoreProtocol> store;
    std::shared_ptr<const DirectoryFormat> directory;
    std::shared_ptr<const PromotionProtocol> promotions;
};

} // namespace shallotwalk
