#pragma once

#include "core/departedreplicas.h"
#include "core/position.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Time limits for detecting that a primary has failed and for replacing it.
struct FailoverSettings
{
    /// The primary counts as failed after it has sent nothing for this long although answers are
    /// due. Longer than the longest queueing time at a busy server.
    Duration silenceLimit{std::chrono::milliseconds(500)};
    /// Silence of the primary after which the other proxies are told of the suspicion. Shorter than
    /// silenceLimit, so that their agreement is known in time.
    Duration suspicionLimit{std::chrono::milliseconds(350)};
    /// The primary counts as failed after every connection has been refused for this long. A
    /// restart of the server would take longer.
    Duration refusedLimit{std::chrono::milliseconds(150)};
    /// The group counts as being without a primary after no server has reported itself as primary
    /// for this long.
    Duration missingPrimaryLimit{std::chrono::milliseconds(1000)};
    /// A replica can be chosen only if its last report is younger than this and it hasn't been
    /// silent for longer.
    Duration maxReportAge{std::chrono::milliseconds(500)};
    /// Time between a promotion order, by this or another proxy, and the next one of this proxy.
    Duration orderInterval{std::chrono::milliseconds(3000)};
    /// Time between an order of this proxy that failed and its next one.
    Duration retryDelay{std::chrono::milliseconds(300)};
    /// Time that a primary which still serves gets to answer that it has been demoted. After it the
    /// promotion goes on without, so it is a small part of the time that a promotion takes.
    Duration demotionTimeout{std::chrono::milliseconds(200)};
    /// Time after a demotion in which the entry of a replica that joined and confirmed commits just
    /// before it becomes known to this proxy.
    Duration joinNoticeTime{std::chrono::milliseconds(150)};
};

/// State of one server of a group, as input of the PromotionPlanner.
struct FailoverCandidate
{
    std::string_view id;
    bool primary = false;
    bool registered = true;        ///< It is in the current list of servers.
    bool runsWithoutEntry = false; ///< It isn't in that list, but a connection to it is open.
    bool leaving = false;
    Duration silence{0};    ///< How long an answer has been overdue; 0 while it answers.
    Duration refusedFor{0}; ///< How long no connection could be opened; 0 if one is open.
    TimePoint reportedAt;   ///< Time of its last report.
    Position received;      ///< Last position in its log, as reported.
    /// Its log may hold commits that an earlier promotion has rolled back.
    bool mayHaveForked = false;
    bool paused = false; ///< It receives no log data until the next promotion.
    /// A primary that reported itself as a replica after a demotion. Its log holds every
    /// acknowledged commit, and it acknowledges no further one.
    bool demoted = false;
    TimePoint demotedAt;                       ///< When the demotion became known.
    std::optional<TimePoint> demotionWantedAt; ///< Since when a demotion has been wanted.
    bool demotionRefused = false;              ///< It answered a demotion, but is still primary.
    /// It was the primary of the newest term and isn't any more. It has confirmed no commit of that
    /// term, and holds all of them.
    bool ledNewestTerm = false;
    /// An order that another server take its place was recorded, and may still be carried out.
    bool supersededByOrder = false;
};

/// Outcome of a review: the actions that the caller must take.
struct FailoverStep
{
    bool suspected = false;       ///< The primary must be treated as unable to serve.
    bool reportSuspicion = false; ///< The other proxies must be told of the suspicion.
    bool requestReports = false;  ///< Replicas must report before one can be chosen.
    bool pauseReplicas = false;   ///< Replicas must stop receiving before one can be chosen.
    bool demotePrimary = false;   ///< The primary must be demoted before a replica is promoted.
    std::string server;           ///< The server to promote; empty if none.
    Position position;            ///< Last position in the log of \c server.
    Position floor;               ///< Log floor that holds once \c server is chosen, see LogFloor.
    std::string reason;           ///< Why the primary must be replaced; empty if it needn't be.
    /// What prevents the choice: ids of replicas that may hold acknowledged commits which no server
    /// to promote holds, or "acknowledged_log" if the logs of these end before the log floor.
    std::vector<std::string> blockedBy;
};

/// Decides when the primary of a group is replaced, and by which replica. A primary that is leaving
/// or no longer registered is replaced at once. A silent one is replaced only when some replica
/// answers this proxy and half of the witnesses find the primary silent too, since otherwise this
/// proxy alone may be cut off from a primary that serves the others. A server whose log may have
/// forked in an earlier promotion is never chosen: that would restore commits that were rolled
/// back, after clients have read the data without them.
///
/// Where commits are acknowledged once replicas have received them, enough replicas are paused
/// before the choice that no commit can be acknowledged after it. A pause is never revoked, since
/// another proxy may have based its choice on it. Paused replicas are therefore a reason for a
/// promotion by themselves. A replica that joins later isn't paused when it confirms its first
/// commits, so a primary that still answers is demoted before the order. A replica that has left
/// may have confirmed what no other holds; nothing is promoted until a server to promote is known
/// to hold it too, or the replica or the primary is back. A server whose log ends before the
/// log floor lacks acknowledged commits, or may lack them, so it is never promoted, however long
/// the others are away. Not thread-safe.
class PromotionPlanner
{
public:
    explicit PromotionPlanner(const FailoverSettings &settings = {});

    /// Reviews the state of the group at \a now. At most one of \a servers is the primary; if none
    /// is, \a missingFor is the time for which the group has had none. The replicas in \a departed
    /// may hold commits that those in \a servers lack.
    FailoverStep review(std::span<const FailoverCandidate> servers, Duration missingFor,
                        TimePoint now, std::span<const DepartedReplica> departed = {}) const;

    /// As review(), as if no order were pending: the server that would be chosen now.
    FailoverStep decide(std::span<const FailoverCandidate> servers, Duration missingFor,
                        TimePoint now, std::span<const DepartedReplica> departed = {}) const;

    /// Records that \a agreeing of the \a witnesses, the proxies whose view of the primary counts,
    /// suspect it.
    void setAgreement(std::size_t agreeing, std::size_t witnesses);

    /// Sets the number of replicas that must have received a commit before it is acknowledged; 0 if
    /// commits don't wait for replicas.
    void setConfirmReplicas(std::uint32_t count) { confirmReplicas_ = count; }

    /// Sets the position that a server's log must reach, see LogFloor; matters only where commits
    /// wait for replicas.
    void setLogFloor(Position position) { logFloor_ = position; }

    /// Records that this proxy has ordered a promotion.
    void orderGiven(TimePoint now) { nextOrderAt_ = now + settings_.orderInterval; }

    /// Records that another proxy has ordered a promotion.
    void orderSeen(TimePoint now) { nextOrderAfterOthersAt_ = now + settings_.orderInterval; }

    /// Records that this proxy's order failed. The next one may follow after retryDelay.
    void orderFailed(TimePoint now) { nextOrderAt_ = now + settings_.retryDelay; }

    /// Records that an order of any proxy was withdrawn: no other one has to wait for it.
    void orderWithdrawn(TimePoint now)
    {
        nextOrderAt_ = now + settings_.retryDelay;
        nextOrderAfterOthersAt_ = now;
    }

    /// Whether the last order, by this or another proxy, still delays the next one.
    bool orderPending(TimePoint now) const;
    const FailoverSettings &settings() const { return settings_; }

private:
    std::string promotionReason(std::span<const FailoverCandidate> servers,
                                Duration missingFor) const;
    bool awaitsJoins(std::span<const FailoverCandidate> servers, Position position,
                     TimePoint now) const;
    const FailoverCandidate *demotedPrimary(std::span<const FailoverCandidate> servers,
                                            TimePoint now) const;
    bool preventChoice(std::span<const std::string> holders) const;
    bool isPaused(const FailoverCandidate &server, TimePoint now) const;
    std::optional<Position> holdsAtMost(const FailoverCandidate &server, TimePoint now) const;
    std::vector<std::string> holdersBeyond(std::span<const FailoverCandidate> servers,
                                           std::span<const DepartedReplica> departed,
                                           const FailoverCandidate &chosen, TimePoint now) const;
    std::vector<std::string> unreachableHolders(std::span<const FailoverCandidate> servers,
                                                std::span<const DepartedReplica> departed,
                                                TimePoint now) const;
    bool awaitsDemotion(std::span<const FailoverCandidate> servers, TimePoint now) const;
    bool hasRecentReport(const FailoverCandidate &server, Duration maxReportAge,
                         TimePoint now) const;
    const FailoverCandidate *successor(std::span<const FailoverCandidate> servers,
                                       TimePoint now) const;

    FailoverSettings settings_;
    std::uint32_t confirmReplicas_ = 0;
    Position logFloor_;                ///< See setLogFloor().
    bool witnessesAgree_ = true;       ///< At least half of the witnesses suspect the primary.
    TimePoint nextOrderAt_;            ///< No order before this, because of this proxy's last one.
    TimePoint nextOrderAfterOthersAt_; ///< No order before this, because of another proxy's.
};

} // namespace shallotwalk
