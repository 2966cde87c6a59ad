#pragma once

#include "core/ownerdirectory.h"
#include "core/statement.h"
#include "core/time.h"

#include <random>
#include <variant>

namespace shallotwalk {

/// Bounds on the attempts of one request.
struct DispatchSettings
{
    Duration firstBackoff{std::chrono::milliseconds(20)};
    Duration longestBackoff{std::chrono::milliseconds(500)};
    double retryBudget = 0.1;      ///< Retries per request, over all requests.
    double retryReserve = 20;      ///< Retries that may be saved up or spent ahead.
    unsigned longestRedirects = 3; ///< Immediate redirects to another owner.
};

/// Where one request stands between its attempts.
struct DispatchProgress
{
    unsigned attempts = 0;
    unsigned redirects = 0;
};

/// What to do with a request next.
struct RunLocally
{
};
struct ForwardTo
{
    std::string vm;
};
struct WaitForOwner ///< Until an owner is known, or the deadline.
{
};
struct RetryAfter
{
    Duration delay{0};
};
struct DeliverReply
{
};
using DispatchStep = std::variant<RunLocally, ForwardTo, WaitForOwner, RetryAfter, DeliverReply>;

/// Decides on each attempt of a request: where it goes, and whether a failed one is repeated. Only
/// requests with the verdict "did not run" are repeated, with exponential backoff, full jitter and
/// a budget, so that retries can't multiply an overload. Not thread-safe.
class DispatchPolicy
{
public:
    /// \a self is this proxy's VM; \a seed makes the jitter repeatable.
    DispatchPolicy(std::string self, const DispatchSettings &settings, std::uint64_t seed);

    /// Counts a new request towards the retry budget.
    void requestArrived();

    /// Where the next attempt of \a request goes.
    DispatchStep nextAttempt(const StatementRequest &request, const OwnerDirectory &owners) const;

    /// What follows from \a reply to an attempt.
    DispatchStep afterReply(const StatementRequest &request, const StatementReply &reply,
                            DispatchProgress &progress, TimePoint now);

    /// Retries that the budget allows at present.
    double budget() const { return budget_; }

private:
    Duration backoff(unsigned attempts);

    std::string self_;
    DispatchSettings settings_;
    std::mt19937_64 random_;
    double budget_;
};

/// The owner's VM within a transaction id "<vm>/<epoch>/<number>"; empty if it is malformed.
/// Thread-safe.
std::string_view transactionOwner(std::string_view transaction);

} // namespace shallotwalk
