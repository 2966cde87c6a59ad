#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Collects the log lines of several processes that concern one statement, server or service, in
/// order of their time. Not thread-safe.
class LogStory
{
public:
    /// \a word is looked for in the members of each line, as their whole value.
    explicit LogStory(std::string word);

    /// Takes the lines of one process, one JSON object each; what stands before the object is
    /// ignored.
    void add(std::string_view text);

    /// The lines found, as "<time> <VM> <event> <other members>".
    std::vector<std::string> lines() const;

    /// Lines that are no JSON objects.
    std::size_t unreadable() const { return unreadable_; }

private:
    struct Entry
    {
        std::string time;
        std::string text;
    };

    void addLine(std::string_view line);

    std::string word_;
    std::vector<Entry> entries_;
    std::size_t unreadable_ = 0;
};

} // namespace shallotwalk
