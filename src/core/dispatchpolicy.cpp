#include "core/dispatchpolicy.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Failures that another attempt may avoid and that put no load on a database.
bool isRoutingFailure(ErrorCode code)
{
    return code == ErrorCode::NoOwner || code == ErrorCode::NotOwner
           || code == ErrorCode::PeerUnreachable || code == ErrorCode::Draining;
}

/// Failures of a database that another attempt may avoid. Overload (a full queue) isn't among
/// them: a repeated request would only lengthen it.
bool isDatabaseFailure(ErrorCode code)
{
    return code == ErrorCode::NoPrimary || code == ErrorCode::NoServer
           || code == ErrorCode::ConnectionLost;
}

} // namespace

DispatchPolicy::DispatchPolicy(std::string self, const DispatchSettings &settings,
                               std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , budget_(settings.retryReserve)
{
}

void DispatchPolicy::requestArrived()
{
    budget_ = std::min(budget_ + settings_.retryBudget, settings_.retryReserve);
}

DispatchStep DispatchPolicy::nextAttempt(const StatementRequest &request,
                                         const OwnerDirectory &owners) const
{
    if (request.transaction) {
        const auto owner = transactionOwner(*request.transaction);
        if (owner.empty() || owner == self_)
            return RunLocally{};
        return ForwardTo{std::string(owner)};
    }
    const auto *entry = owners.find(request.pool);
    if (entry == nullptr)
        return WaitForOwner{};
    if (entry->owner == self_)
        return RunLocally{};
    return ForwardTo{entry->owner};
}

DispatchStep DispatchPolicy::afterReply(const StatementRequest &request,
                                        const StatementReply &reply, DispatchProgress &progress,
                                        TimePoint now)
{
    const auto *failure = std::get_if<Failure>(&reply.outcome);
    if (failure == nullptr || failure->verdict != Verdict::DidNotRun)
        return DeliverReply{};
    const bool routing = isRoutingFailure(failure->code);
    // A transaction lives on its owner only; without it there is nothing to repeat.
    if (request.transaction || (!routing && !isDatabaseFailure(failure->code)))
        return DeliverReply{};
    ++progress.attempts;
    if (failure->code == ErrorCode::NotOwner && !reply.ownerHint.empty()
        && progress.redirects < settings_.longestRedirects) {
        ++progress.redirects;
        return RetryAfter{Duration::zero()};
    }
    const auto delay = backoff(progress.attempts);
    if (now + delay >= request.deadline)
        return DeliverReply{};
    if (!routing) {
        if (budget_ < 1)
            return DeliverReply{};
        budget_ -= 1;
    }
    return RetryAfter{delay};
}

Duration DispatchPolicy::backoff(unsigned attempts)
{
    const auto doublings = std::min(attempts, 20U);
    const auto longest =
        std::min(settings_.firstBackoff * (1 << doublings), settings_.longestBackoff);
    std::uniform_int_distribution<Duration::rep> jitter(1, longest.count());
    return Duration(jitter(random_));
}

std::string_view transactionOwner(std::string_view transaction)
{
    const auto end = transaction.find('/');
    return end == std::string_view::npos ? std::string_view() : transaction.substr(0, end);
}

} // namespace shallotwalk
