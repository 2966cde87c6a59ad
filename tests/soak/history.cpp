#include "soak/history.h"

#include <algorithm>
#include <sstream>

namespace shallotwalk::soak {

History::History(std::size_t items)
    : acknowledged_(items)
{
}

void History::recordWrite(const std::string &id, WriteOutcome outcome)
{
    const std::scoped_lock lock(mutex_);
    writes_[id] = outcome;
}

void History::recordViolation(std::string text)
{
    const std::scoped_lock lock(mutex_);
    violations_.push_back(std::move(text));
}

void History::checkLog(const std::string &log)
{
    std::map<std::string, std::size_t> runs;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);)
        ++runs[line.substr(0, line.find(' '))];
    const std::scoped_lock lock(mutex_);
    for (const auto &[id, count] : runs) {
        if (count > 1)
            violations_.push_back("write " + id + " took effect " + std::to_string(count)
                                  + " times");
        if (!writes_.contains(id))
            violations_.push_back("write " + id
                                  + " is in the log, but its client didn't commit it");
    }
    for (const auto &[id, outcome] : writes_) {
        const bool ran = runs.contains(id);
        if (outcome == WriteOutcome::Acknowledged && !ran)
            violations_.push_back("acknowledged write " + id + " is lost");
        if (outcome == WriteOutcome::Refused && ran)
            violations_.push_back("write " + id + " took effect though it was refused");
    }
}

std::vector<std::string> History::violations() const
{
    const std::scoped_lock lock(mutex_);
    return violations_;
}

std::size_t History::count(WriteOutcome outcome) const
{
    const std::scoped_lock lock(mutex_);
    return std::count_if(writes_.begin(), writes_.end(),
                         [outcome](const auto &entry) { return entry.second == outcome; });
}

} // namespace shallotwalk::soak
