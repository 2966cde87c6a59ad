#pragma once

#include "core/time.h"

namespace shallotwalk {

/// Expected response time of one backend server: a moving average that returns to the shortest
/// time seen while the server isn't used, so that a server which was slow once is tried again.
/// Not thread-safe.
class ResponseEstimate
{
public:
    /// Adds the response time of a request that ended at \a now.
    void record(Duration response, TimePoint now);

    /// Adds the round trip of a command that needs no work, which bounds the delay of the network.
    void recordRoundTrip(Duration roundTrip);

    /// Expected time until the answer to a request sent at \a now.
    Duration expected(TimePoint now) const;

    Duration roundTrip() const { return roundTrip_; }

private:
    Duration roundTrip_{0}; ///< Shortest seen; 0: none yet.
    double excess_ = 0;     ///< Average over the round trip, in microseconds, at lastAt_.
    TimePoint lastAt_;
};

} // namespace shallotwalk
