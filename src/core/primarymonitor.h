#pragma once

#include "core/serverstatus.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Settings of a PrimaryMonitor.
struct MonitorSettings
{
    Duration sampleInterval{std::chrono::milliseconds(200)};
    Duration failureTime{std::chrono::milliseconds(1000)}; ///< Without an answer: failed.
};

/// Classification of a server as primary.
enum class PrimaryState {
    Alive,
    Suspect, ///< Two or more samples missed.
    Failed,  ///< No answer for the failure time, or it has returned to recovery.
    CutOff,  ///< It answers, but a majority of the replicas has lost contact with it.
};

/// Keeps the latest sample of each server of a group and detects failures. Not thread-safe.
class PrimaryMonitor
{
public:
    /// Sets up unreachable entries for \a vms.
    PrimaryMonitor(MonitorSettings settings, std::span<const std::string> vms);

    /// Takes a sample; false if the VM is unknown or a later sample is known. With \c reachable
    /// false it counts as a missed answer and the known positions stay. The entry's leaving flag
    /// and connection count stay.
    bool sample(const ServerStatus &status);

    /// State of the server at \a index as primary. \a writesWaiting: only then does lost contact
    /// with the replicas count as cut off.
    PrimaryState state(std::size_t index, bool writesWaiting, TimePoint now) const;

    /// True if the server has missed enough samples, and no answer is as recent as the failure
    /// time. Only missed samples count, so that a pause of this process raises no false alarm.
    bool failed(std::size_t index, TimePoint now) const;

    /// True if a majority of the other servers has had no contact with the server at \a index for
    /// the failure time.
    bool contactLost(std::size_t index, TimePoint now) const;

    /// Time after \a now at which failed() or contactLost() may change without a sample, or
    /// TimePoint::max().
    TimePoint nextDue(TimePoint now) const;

    /// Index of the server that is out of recovery with the highest term, if any answers.
    std::optional<std::size_t> highestPrimary() const;

    std::optional<std::size_t> indexOf(std::string_view vm) const;
    std::span<const ServerStatus> servers() const { return servers_; }
    void setLeaving(std::size_t index, bool leaving) { servers_[index].leaving = leaving; }
    void setBusyConnections(std::size_t index, std::uint32_t count);

private:
    struct History
    {
        unsigned missed = 0;
        TimePoint lastAnswer;
        std::optional<TimePoint> noContactSince;
    };

    MonitorSettings settings_;
    std::vector<ServerStatus> servers_;
    std::vector<History> histories_;
};

} // namespace shallotwalk
