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

/// Message by which a client opens its session.
struct SessionOpening
{
    std::string database;
    std::optional<KeyDigest> key; ///< Digest of the key that the client gave, if it gave one.
};

/// Message by which a client ends its session.
struct SessionClosing
{
};

/// Received bytes that are not a valid message of the protocol.
struct InvalidMessage
{
    AnswerCode code = AnswerCode::Malformed;
    std::string reason;
    bool fatal = false; ///< The end of the message is unknown, so nothing after it can be decoded.
};

using ClientMessage =
    std::variant<SessionOpening, SessionStatement, SessionClosing, InvalidMessage>;
using ServerMessage = std::variant<ServerReply, InvalidMessage>;

/// Decodes the bytes of one client's connection into messages. Not thread-safe.
class ClientDecoder
{
public:
    virtual ~ClientDecoder() = default;

    virtual void append(std::span<const char> bytes) = 0;

    /// Returns the next message; empty while it is incomplete, and after a fatal InvalidMessage.
    virtual std::optional<ClientMessage> next() = 0;

    /// Number of received bytes that don't belong to a returned message yet.
    virtual std::size_t buffered() const = 0;
};

/// Decodes the bytes of one backend server's connection into replies. Not thread-safe.
class ServerDecoder
{
public:
    virtual ~ServerDecoder() = default;

    virtual void append(std::span<const char> bytes) = 0;

    /// Returns the next reply; empty while it is incomplete, and after an InvalidMessage.
    virtual std::optional<ServerMessage> next() = 0;
};

/// Encoding of the messages of sessions, towards clients and backend servers. Implementations are
/// immutable and thread-safe.
class SessionProtocol
{
public:
    virtual ~SessionProtocol() = default;

    virtual std::unique_ptr<ClientDecoder> makeClientDecoder() const = 0;
    virtual std::unique_ptr<ServerDecoder> makeServerDecoder() const = 0;

    /// Appends to \a out the answer to a statement or to the opening of a session.
    virtual void encode(const SessionAnswer &answer, std::string &out) const = 0;

    /// Appends to \a out the refusal to open a session, after which the connection is closed.
    virtual void encodeRefusal(AnswerCode code, std::string_view text, std::string &out) const = 0;

    /// Appends to \a out the message that opens a connection to \a server for the statements of
    /// \a team; empty: of callers without a team, and of this proxy.
    virtual void encodeOpening(const ServerRegistration &server, std::string_view team,
                               std::string &out) const = 0;

    /// Appends to \a out a command for a backend server.
    virtual void encode(const ServerCommand &command, std::string &out) const = 0;
};

/// An HTTP request to be sent.
struct HttpCall
{
    std::string method;
    std::string target;
    std::string body; ///< Empty: no body.
    std::vector<HttpHeader> headers;
    /// Time from the request to the HttpCaller until the answer must have begun to arrive.
    Duration timeout{std::chrono::milliseconds(1000)};
    std::string contentType = "application/json"; ///< Of the body.
    /// Where to send the request; empty: to the endpoint of the HttpCaller.
    std::optional<HttpEndpoint> endpoint;
};

/// One page of a listing of the store.
struct StorePage
{
    std::vector<KeyValue> items;
    StoreRevision revision; ///< Revision of the store.
    bool more = false;      ///< Further pages follow.
};

/// Answer to a watch: the changes since a revision.
struct StoreChanges
{
    struct Change
    {
        KeyValue item;
        bool deleted = false;
    };
    std::vector<Change> changes;
    StoreRevision revision;   ///< Revision up to which the changes are complete.
    bool historyLost = false; ///< The requested revision is too old; a new listing is needed.
};

/// Outcome of a write or a removal.
struct StoreWrite
{
    bool written = false;
    StoreRevision revision; ///< Revision of the written key.
    /// After a conflict: the current item, if the key exists.
    std::optional<KeyValue> conflictingItem;
    bool leaseLost = false; ///< Nothing was written because the lease has ended.
};

/// Requests to the platform's store and the decoding of its answers. Decoders fail with a Failure
/// if the answer reports an error or can't be decoded. Implementations are immutable and
/// thread-safe.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    /// Returns the era of the store when it gave \a response; 0 if it names none. Each answer names
    /// it, whatever its status.
    virtual Result<std::int64_t> decodeEra(const HttpResponse &response) const = 0;

    /// Lists the items whose keys begin with \a prefix and sort after \a after.
    virtual HttpCall list(std::string_view prefix, std::string_view after) const = 0;
    virtual Result<StorePage> decodePage(const HttpResponse &response) const = 0;

    /// Waits, at most for \a wait, for changes after \a revision to keys that begin with \a prefix.
    virtual HttpCall watch(std::string_view prefix, StoreRevision revision,
                           Duration wait) const = 0;
    virtual Result<StoreChanges> decodeChanges(const HttpResponse &response) const = 0;

    virtual HttpCall read(std::string_view key) const = 0;
    /// Returns the item; empty if the key doesn't exist.
    virtual Result<std::optional<KeyValue>> decodeItem(const HttpResponse &response) const = 0;

    /// Writes a key, which is removed when \a lease ends (0: no lease). If \a expectedRevision is
    /// set, writes only if the key has that revision (number 0: the key doesn't exist). The store
    /// compares the number alone, so the revision of the answer tells in which era it did.
    virtual HttpCall write(std::string_view key, std::string_view value, std::uint64_t lease,
                           std::optional<StoreRevision> expectedRevision) const = 0;
    virtual Result<StoreWrite> decodeWrite(const HttpResponse &response) const = 0;

    /// Deletes a key. The answer is decoded by decodeWrite().
    virtual HttpCall remove(std::string_view key) const = 0;

    virtual HttpCall grantLease(Duration duration) const = 0;
    virtual Result<std::uint64_t> decodeLease(const HttpResponse &response) const = 0;
    virtual HttpCall renewLease(std::uint64_t lease) const = 0;
    /// Returns false if the lease has ended.
    virtual Result<bool> decodeRenewal(const HttpResponse &response) const = 0;
    virtual HttpCall endLease(std::uint64_t lease) const = 0;
};

/// Keys and encoding of the platform's documents in the store. Implementations are immutable and
/// thread-safe.
class DirectoryFormat
{
public:
    virtual ~DirectoryFormat() = default;

    virtual std::string_view configurationKey() const = 0;
    virtual std::string_view serversPrefix() const = 0;

    /// Returns the configuration \a value with the callers' keys replaced by their digests. Only
    /// this form is kept, passed on to other proxies and decoded.
    virtual Result<std::string> withoutKeys(std::string_view value) const = 0;

    /// Both decoders fail with a Failure that describes the problem.
    virtual Result<OperatorConfiguration> decodeConfiguration(std::string_view value) const = 0;
    virtual Result<ServerRegistration> decodeServer(std::string_view id,
                                                    std::string_view value) const = 0;
};

/// The platform's answer to an order to promote a server.
enum class PromotionAnswer {
    Accepted,
    Refused,  ///< An order with a higher fencing token was given, or the server isn't running.
    NoAnswer, ///< The order may still be carried out.
};

/// Encoding of orders to the platform to promote a server. Implementations are immutable and
/// thread-safe.
class PromotionProtocol
{
public:
    virtual ~PromotionProtocol() = default;

    /// Orders \a server to become the primary of \a service. \a holder is the proxy that gives the
    /// order.
    virtual HttpCall promote(std::string_view service, std::string_view server,
                             std::string_view holder, std::int64_t fencingToken) const = 0;
    virtual PromotionAnswer decodeAnswer(const HttpResponse &response) const = 0;
};

/// All encodings that depend on the platform. Shared by all actors.
struct GatewayProtocols
{
    std::shared_ptr<const SessionProtocol> sessions;
    std::shared_ptr<const StoreProtocol> store;
    std::shared_ptr<const DirectoryFormat> directory;
    std::shared_ptr<const PromotionProtocol> promotions;
};

} // namespace shallotwalk
