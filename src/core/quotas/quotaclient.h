#pragma once

#include "core/quotas/quotamessage.h"
#include "core/quotas/quotasettings.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Number of an operation that asks for admission, unique within the process.
using OperationNumber = std::uint64_t;

/// Why an operation is admitted or not.
enum class QuotaVerdict {
    Admitted,
    Exceeded,    ///< The team's quota is used up.
    Unreachable, ///< No allocator of the quota answers.
};

/// The decision on one operation.
struct QuotaDecision
{
    OperationNumber operation = 0;
    std::string team;
    QuotaVerdict verdict = QuotaVerdict::Admitted;

    bool operator==(const QuotaDecision &) const = default;
};

/// A request and its receiver.
struct QuotaSend
{
    std::string allocator;
    QuotaRequest request;
};

/// Event counts of a QuotaClient since it was created.
struct QuotaCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t exceeded = 0;
    std::uint64_t unreachable = 0;
    std::uint64_t requests = 0; ///< Sent to allocators.
    std::uint64_t expired = 0;  ///< Tokens that expired unused.
};

/// Admits the operations of teams with quotas on one proxy, with tokens that it gets from the
/// allocators of the fleet, see QuotaAllocator, and delegates this proxy's share of all quotas to
/// them. An operation without a token asks the allocators one after the other. One that doesn't
/// answer is given up, and its part of the share goes to the others; a proxy that reaches none
/// allocates its own share. Not thread-safe. Times must not decrease from call to call.
class QuotaClient
{
public:
    /// \a self is this proxy. \a incarnation differs between two starts of it.
    QuotaClient(std::string self, std::uint64_t incarnation, TimePoint now,
                const QuotaSettings &settings = {});

    /// Sets the proxies of the fleet, this one included.
    void setMembers(std::span<const std::string> members, TimePoint now);

    /// Decides whether the operation \a operation of \a team may start. Without a token at hand
    /// it waits: the decision is then returned by receive() or expire().
    std::optional<QuotaVerdict> admit(OperationNumber operation, std::string_view team,
                                      TimePoint now);

    /// Handles a reply. Returns the decisions on waiting operations.
    std::vector<QuotaDecision> receive(const QuotaReply &reply, TimePoint now);

    /// Returns the decisions on operations that have waited for too long.
    std::vector<QuotaDecision> expire(TimePoint now);

    /// Returns the requests to send now. One to this proxy itself goes to its own allocator.
    std::vector<QuotaSend> takeRequests(TimePoint now);

    /// Returns when takeRequests() or expire() has something to do.
    TimePoint nextDue() const;

    /// Returns the allocators in use.
    std::span<const std::string> allocators() const { return active_; }

    /// Returns the unexpired tokens of \a team.
    std::uint32_t tokensOf(std::string_view team, TimePoint now) const;

    const QuotaCounters &counters() const { return counters_; }

private:
    struct Tokens
    {
        std::uint32_t count = 0;
        TimePoint until;
    };
    struct Waiting
    {
        OperationNumber operation = 0;
        TimePoint until;
        std::uint64_t askedWith = 0; ///< Number of the request that asks for it; 0: none.
        std::size_t refusals = 0;    ///< Allocators that have had no token for it.
        TimePoint askAt;             ///< Not asked for before.
        bool heard = false;          ///< Some allocator has answered.
    };
    struct TeamState
    {
        std::deque<Tokens> tokens;
        std::deque<Waiting> waiting;
        std::size_t preferred = 0; ///< Rotates over the allocators in use.
        double rate = 0;           ///< Recent operations per second.
        TimePoint ratedAt;
        /// Until then operations without a token are refused at once, because the quota was used
        /// up.
        TimePoint exceededUntil = TimePoint::min();
    };
    /// A request that an allocator may still have to act on, or acts on.
    struct Sent
    {
        TimePoint at;
        QuotaShare share = 0;
    };
    struct Allocator
    {
        std::map<std::uint64_t, Sent> unanswered;  ///< Requests by number.
        std::map<std::uint64_t, Sent> delegations; ///< Those that may be in effect, by number.
        TimePoint sentAt = TimePoint::min();
        bool lost = false;                    ///< Given up; only probed until it answers.
        QuotaShare shares = 0;                ///< Of the whole fleet, as it has last said.
        std::optional<ReceiptEcho> lastReply; ///< Its age counts from lastReplyAt.
        TimePoint lastReplyAt;
    };

    void review(TimePoint now);
    QuotaShare heldBy(const Allocator &allocator) const;
    QuotaShare shareFor(const std::string &name, TimePoint now);
    std::size_t fleetSize() const;
    const std::string &preferredBy(const TeamState &team) const;
    bool holdWholeFleet() const;
    QuotaRequest makeRequest(const std::string &name, TimePoint now);
    TimePoint requestDue(const std::string &name, const Allocator &allocator) const;
    TimePoint askDue(const std::string &name) const;
    std::vector<QuotaDemand> demandsOf(const std::string &name, std::uint64_t request,
                                       TimePoint now);
    QuotaDemand demandOf(std::string_view name, TeamState &team, TimePoint now);
    void takeGrant(const QuotaGrant &grant, const QuotaReply &reply, TimePoint sentAt,
                   TimePoint now, std::vector<QuotaDecision> &decisions);
    bool take(TeamState &team, TimePoint now);
    double rateOf(const TeamState &team, TimePoint now) const;
    void dropExpired(TeamState &team, TimePoint now);
    void count(QuotaVerdict verdict);

    std::string self_;
    std::uint64_t incarnation_;
    QuotaSettings settings_;
    TimePoint startedAt_;
    std::vector<std::string> chosen_; ///< Allocators of the fleet, whether they answer or not.
    std::vector<std::string> active_; ///< Those in use. Never empty.
    std::uint64_t lastNumber_ = 0;    ///< Of the requests to all allocators.
    std::deque<std::pair<TimePoint, std::size_t>> fleetSizes_; ///< Recent sizes, with their end.
    std::size_t members_ = 1;
    std::map<std::string, Allocator, std::less<>> allocators_;
    std::map<std::string, TeamState, std::less<>> teams_; ///< Recently active ones.
    QuotaCounters counters_;
};

} // namespace shallotwalk
