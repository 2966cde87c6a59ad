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
    Duration silenceLimit{std::chrono::milliseconds(700)};
    /// The same while replicas still receive from the primary, so that other proxies reach it.
    Duration partialSilenceLimit{std::chrono::milliseconds(2000)};
    /// With every connection refused. A restart of the server would take longer.
    Duration refusedLimit{std::chrono::milliseconds(150)};
    /// Without any server that calls itself primary.
    Duration missingLimit{std::chrono::milliseconds(1000)};
    /// Age up to which a replica's report counts for the choice.
    Duration reportAge{std::chrono::milliseconds(500)};
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
    Duration silence{0};       ///< Since an answer was due; 0 while it answers.
    Duration refusedFor{0};    ///< Since when no connection could be opened; 0 if one is open.
    TimePoint reportedAt;      ///< Of its last report.
    Position received;         ///< As last reported.
    bool receivedMore = false; ///< Has received something since the primary fell silent.
};

/// What the planner wants done.
struct FailoverStep
{
    bool suspected = false;    ///< The primary must be taken as unable to serve.
    bool wantsReports = false; ///< Replicas must report before a choice is possible.
    std::string server;        ///< To promote; empty: none.
    std::string reason;
};

/// Decides when the primary of a group is replaced, and by which replica. A primary that is leaving
/// or gone is replaced at once; a silent one only when some replica answers this proxy, since
/// otherwise the proxy itself may be cut off. Not thread-safe.
class PromotionPlanner
{
public:
    explicit PromotionPlanner(const FailoverSettings &settings = {});

    /// Reviews the group. At most one of \a servers is the primary; if none is, \a missingFor tells
    /// since when.
    FailoverStep review(std::span<const FailoverCandidate> servers, Duration missingFor,
                        TimePoint now) const;

    /// An order was given or seen at \a now.
    void ordered(TimePoint now) { orderedAt_ = now; }

    /// The last order couldn't be carried out at \a now; another may follow after retryDelay.
    void orderFailed(TimePoint now);

    bool orderPending(TimePoint now) const;
    const FailoverSettings &settings() const { return settings_; }

private:
    std::string reasonAgainst(std::span<const FailoverCandidate> servers,
                              Duration missingFor) const;
    const FailoverCandidate *successor(std::span<const FailoverCandidate> servers,
                                       TimePoint now) const;

    FailoverSettings settings_;
    std::optional<TimePoint> orderedAt_;
};

} // namespace shallotwalk
