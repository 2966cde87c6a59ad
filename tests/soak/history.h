#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace shallotwalk::soak {

/// What a client knows of one of its writes.
enum class WriteOutcome {
    Acknowledged,
    Refused, ///< With a promise that nothing is kept.
    InDoubt,
};

/// What all clients of a run were told, and the violations of the system's promises. Thread-safe.
class History
{
public:
    explicit History(std::size_t items);

    void recordWrite(const std::string &id, WriteOutcome outcome);
    void recordViolation(std::string text);

    /// The highest value of \a item whose write is acknowledged.
    std::uint64_t acknowledged(std::size_t item) const { return acknowledged_.at(item); }
    void acknowledge(std::size_t item, std::uint64_t value) { acknowledged_.at(item) = value; }

    /// Compares the writes with the leader's log, one entry a line that begins with the id.
    void checkLog(const std::string &log);

    std::vector<std::string> violations() const;
    std::size_t count(WriteOutcome outcome) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, WriteOutcome> writes_;
    std::vector<std::string> violations_;
    std::vector<std::atomic<std::uint64_t>> acknowledged_;
};

} // namespace shallotwalk::soak
