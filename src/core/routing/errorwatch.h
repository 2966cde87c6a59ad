#pragma once

#include "core/time.h"

namespace shallotwalk {

/// Decides whether a backend server that answers statements with errors gets reads. It answers the
/// load of a server that accepts connections and reports itself well but fails what it is given:
/// such a server answers faster than the others and would draw ever more work. Once most of its
/// recent answers are errors it is avoided, and gets single statements as trials, whose interval
/// doubles with each error and halves with each success, until it counts as sound again. Not
/// thread-safe. Times must not decrease from call to call.
class ErrorWatch
{
public:
    /// The server has answered a statement, sent at \a sentAt, with a result.
    void succeeded(TimePoint sentAt, TimePoint now);

    /// The server has answered a statement, sent at \a sentAt, with an error of its own.
    void failed(TimePoint sentAt, TimePoint now);

    /// A statement is sent to the server.
    void sent(TimePoint now);

    /// Returns whether a statement may be sent to the server now although others could run it.
    bool admits(TimePoint now) const { return !avoided_ || now >= nextTrialAt_; }

    /// Returns whether the server is avoided, trials apart.
    bool avoided() const { return avoided_; }

private:
    double errorShare_ = 0; ///< Of the recent answers.
    bool avoided_ = false;
    TimePoint avoidedSince_;
    Duration trialInterval_{0};
    TimePoint nextTrialAt_;
};

} // namespace shallotwalk
