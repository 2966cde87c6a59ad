#pragma once

#include "core/feedmessage.h"
#include "core/membershipmessage.h"
#include "wire/gen-cpp/peer_types.h"

#include <exception>

namespace shallotwalk {

/// Marks content that the Thrift types permit but the core types don't.
class InvalidContent : public std::exception
{
public:
    explicit InvalidContent(const char *reason)
        : reason_(reason)
    {
    }
    const char *what() const noexcept override { return reason_; }

private:
    const char *reason_;
};

/// Throws InvalidContent unless \a condition holds.
void require(bool condition, const char *reason);

/// Conversions between control messages and their Thrift types. fromWire() takes the content out
/// of its argument and throws InvalidContent if a value is out of range. Thread-safe.
peerwire::Membership toWire(const MembershipMessage &message);
MembershipMessage fromWire(peerwire::Membership &wire, MembershipKind kind);
peerwire::FeedRequest toWire(const FeedRequest &request);
FeedRequest fromWire(const peerwire::FeedRequest &wire);
peerwire::FeedReply toWire(const FeedReply &reply);
FeedReply fromWire(peerwire::FeedReply &wire);

} // namespace shallotwalk
