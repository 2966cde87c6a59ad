#include "core/replysequence.h"

#include <utility>

namespace shallotwalk {

namespace {

/// Whether a command of \a kind can't have been answered with \a reply.
bool isForeign(ExpectedReply kind, const ServerReply &reply)
{
    if (!reply.signature.empty())
        return kind != ExpectedReply::Statement || reply.error;
    if (reply.error)
        return false;
    switch (kind) {
    case ExpectedReply::Statement:
        return true;
    case ExpectedReply::Begin:
    case ExpectedReply::Probe:
        return reply.state != TransactionState::Open;
    default:
        return false;
    }
}

} // namespace

void ReplySequence::sent(std::span<const ExpectedReply> kinds, TimePoint now, Position logEnd)
{
    for (const auto kind : kinds)
        commands_.push_back({kind, now, logEnd});
}

bool ReplySequence::received(ServerReply reply)
{
    if (due() == 0)
        return false;
    replies_.push_back(std::move(reply));
    if (due() == 0)
        inPlace_ = replies_.size();
    return true;
}

std::optional<ReplySequence::Match> ReplySequence::next()
{
    if (replies_.empty())
        return std::nullopt;
    const auto &command = commands_.front();
    auto &reply = replies_.front();
    const bool foreign = isForeign(command.kind, reply);
    // An error in place of a preparation ends the connection, whichever command it belongs to.
    const bool ambiguous = reply.error && command.kind != ExpectedReply::Preparation;
    if (!foreign && ambiguous && inPlace_ == 0)
        return std::nullopt;
    Match match{command, std::move(reply), foreign};
    commands_.pop_front();
    replies_.pop_front();
    if (inPlace_ > 0)
        --inPlace_;
    return match;
}

} // namespace shallotwalk
