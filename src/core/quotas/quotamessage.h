#pragma once

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// A part of every team's quota, in millionths of the whole.
using QuotaShare = std::uint32_t;

inline constexpr QuotaShare wholeQuota = 1'000'000;

/// What a proxy wants of one team's quota.
struct QuotaDemand
{
    std::string team;
    std::uint32_t needed = 0;   ///< Operations that wait for a token.
    std::uint32_t expected = 0; ///< Further ones that will arrive soon.
    std::uint32_t returned = 0; ///< Tokens that the proxy gives back unused.

    bool operator==(const QuotaDemand &) const = default;
};

/// A time of the receiver's clock that its last reply carried, which dates the message without
/// synchronised clocks: the message was sent \c age or more after that time.
struct ReceiptEcho
{
    std::uint64_t incarnation = 0; ///< Of the receiver, when it sent the reply.
    TimePoint repliedAt;           ///< Time in that reply.
    Duration age{0};               ///< Since the reply arrived.

    bool operator==(const ReceiptEcho &) const = default;
};

/// Datagram of a proxy to an allocator: delegates a share of every quota for a bounded time, and
/// asks for tokens. May be lost, delayed, repeated or reordered.
struct QuotaRequest
{
    std::string sender;
    std::uint64_t incarnation = 0; ///< Differs between two starts of the sender.
    std::uint64_t number = 0;      ///< Rises with each request of the incarnation.
    std::optional<ReceiptEcho> echo;
    QuotaShare share = 0; ///< Delegated; replaces what an earlier request has delegated.
    std::vector<QuotaDemand> demands;

    bool operator==(const QuotaRequest &) const = default;
};

/// Tokens of one team, one for each operation.
struct QuotaGrant
{
    std::string team;
    std::uint32_t tokens = 0;

    bool operator==(const QuotaGrant &) const = default;
};

/// Datagram that answers a QuotaRequest. May be lost, delayed, repeated or reordered.
struct QuotaReply
{
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;       ///< Of the request.
    TimePoint sentAt;               ///< On the sender's clock.
    bool resigned = false;          ///< The sender holds no shares any more and takes none.
    QuotaShare shares = 0;          ///< Sum of the shares that it holds.
    std::vector<QuotaGrant> grants; ///< One for each demand of the request.

    bool operator==(const QuotaReply &) const = default;
};

} // namespace shallotwalk
