#pragma once

#include "core/position.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace shallotwalk {

/// Bounds on the detection of a failed primary and on its replacement.
struct FailoverSettings
{
    /// Without any answer although some are due. Longer than the longest queue at a busy server.
    Duration silenceLimit{std::chrono::milliseconds(500)};
    /// Before that, the other proxies are told, so that their agreement is known in time.
    Duration suspicionLimit{std::chrono::milliseconds(350)};
    /// With every connection refused. A restart of the server would take longer.
    Duration refusedLimit{std::chrono::milliseconds(150)};
    /// Without any server that calls itself primary.
    Duration missingPrimaryLimit{std::chrono::milliseconds(1000)};
    /// Age up to which a replica's report counts for the choice.
    Duration maxReportAge{std::chrono::milliseconds(500)};
    /// After an order, by whichever proxy, until another one may be given.
    Duration orderInterval{std::chrono::milliseconds(3000)};
    /// After an order that failed.
    Duration retryDelay{std::chrono::milliseconds(300)};
};

/// One server of a group as the planner sees it.
struct FailoverCandidate
{
    std::string_view id;
    bool primary = false;
    bool registered = true;
    bool leaving = false;
    Duration silence{0};        ///< Since an answer was due; 0 while it answers.
    Duration refusedFor{0};     ///< Since when no connection could be opened; 0 if one is open.
    TimePoint reportedAt;       ///< Of its last report.
    Position received;          ///< As last reported.
    bool mayHaveForked = false; ///< Its log may hold what an earlier promotion has rolled back.
    bool paused = false;        ///< It receives nothing until the next promotion.
};

/// What the planner wants done.
struct FailoverStep
{
    bool suspected = false;       ///< The primary must be taken as unable to serve.
    bool reportSuspicion = false; ///< The other proxies must be told.
    bool requestReports = false;  ///< Replicas must report before a choice is possible.
    bool pauseReplicas = false;   ///< Replicas must stop receiving before a choice is possible.
    std::string server;           ///< To promote; empty: none.
    Position position;            ///< Of its log.
    std::string reason;
};

/// Decides when the primary of a group is replaced, and by which replica. A primary that is leaving
/// or gone is replaced at once; a silent one only when some replica answers this proxy and half of
/// the witnesses find it silent, since otherwise this proxy may be cut off from a primary that
/// serves the others. A server that an earlier promotion has left behind is never chosen: that
/// would bring back what was rolled back, after it was read without.
///
/// Where commits are acknowledged once replicas have received them, enough replicas are paused
/// before the choice that no commit can be acknowledged behind it. A pause is never taken back,
/// since another proxy's choice may rest on it: paused replicas are a reason for a promotion by
/// themselves. Not thread-safe.
class PromotionPlanner
{
public:
    explicit PromotionPlanner(const FailoverSettings &settings = {});

    /// Reviews the group. At most one of \a servers is the primary; if none is, \a missingFor tells
    /// since when.
    FailoverStep review(std::span<const FailoverCandidate> servers, Duration missingFor,
                        TimePoint now) const;

    /// \a agreeing of the \a witnesses, the proxies whose view counts, suspect the primary.
    void setAgreement(std::size_t agreeing, std::size_t witnesses);

    /// A commit is acknowledged once \a count replicas have received it.
    void setConfirmReplicas(std::uint32_t count) { confirmReplicas_ = count; }

    /// This proxy has given an order.
    void orderGiven(TimePoint now) { nextOrderAt_ = now + settings_.orderInterval; }

    /// Another proxy's order was seen.
    void orderSeen(TimePoint now) { nextOrderAfterOthersAt_ = now + settings_.orderInterval; }

    /// This proxy's order couldn't be carried out; another may follow after retryDelay.
    void orderFailed(TimePoint now) { nextOrderAt_ = now + settings_.retryDelay; }

    bool orderPending(TimePoint now) const;
    const FailoverSettings &settings() const { return settings_; }

private:
    std::string reasonAgainst(std::span<const FailoverCandidate> servers,
                              Duration missingFor) const;
    bool hasRecentReport(const FailoverCandidate &server, Duration maxReportAge,
                         TimePoint now) const;
    const FailoverCandidate *successor(std::span<const FailoverCandidate> servers,
                                       TimePoint now) const;

    FailoverSettings settings_;
    std::uint32_t confirmReplicas_ = 0;
    bool agreed_ = true; ///< Half of the witnesses suspect the primary.
    TimePoint nextOrderAt_;
    TimePoint nextOrderAfterOthersAt_;
};

} // namespace shallotwalk
