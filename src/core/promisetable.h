#pragma once

#include "core/promise.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace shallotwalk {

/// The candidate's side of ownership: the promises that this proxy has given, one per database.
///
/// Promises aren't stored, so two rules replace the memory that a restart loses. Nothing is
/// promised for the longest promise time after the start, by when every earlier promise has
/// expired. And until the record has been read from the store, which holds an epoch at least as
/// high as any that was promised before, only owners with a valid lease are served; otherwise a
/// superseded owner could collect a majority of an old candidate list. Not thread-safe.
class PromiseTable
{
public:
    /// \a self is this proxy's VM; \a start is the time at which the process started.
    PromiseTable(std::string self, TimePoint start,
                 Duration longestPromise = std::chrono::milliseconds(2000));

    /// Answers \a request at \a now, and grants, extends or releases the promise.
    PromiseReply answer(const PromiseRequest &request, TimePoint now);

    /// The record of \a database was read from the store with \a epoch (0: there is none). The
    /// read must have been sent after the start given to the constructor.
    void recordRead(std::string_view database, Epoch epoch);

    /// Whether the record of \a database has yet to be read before promises to a new owner.
    bool needsRecord(std::string_view database) const;

private:
    struct Entry
    {
        Epoch highestEpoch = 0;
        bool recordRead = false;
        std::string owner; ///< Holder of the last promise.
        Epoch epoch = 0;
        std::uint64_t sequence = 0; ///< Highest one of the holder's requests.
        TimePoint until;            ///< End of the promise.
    };

    /// Time for which \a request must wait; zero if it may be granted as far as time goes.
    Duration wait(const Entry &entry, const PromiseRequest &request, TimePoint now) const;
    bool mayGrant(const Entry &entry, const PromiseRequest &request, TimePoint now) const;
    static void grant(Entry &entry, const PromiseRequest &request, TimePoint now);
    static void release(Entry &entry, const PromiseRequest &request, TimePoint now);

    std::string self_;
    TimePoint start_;
    Duration longestPromise_;
    std::map<std::string, Entry, std::less<>> entries_;
};

} // namespace shallotwalk
