#pragma once

#include <csignal>
#include <functional>
#include <thread>

namespace shallotwalk {

/// Passes SIGTERM, SIGINT and SIGHUP on to a handler, on a thread that sleeps until one comes.
/// Construct it before any other thread starts, since threads inherit the signal mask.
class ProcessSignals
{
public:
    /// Called with the number of each signal, on a thread of its own.
    using Handler = std::function<void(int signal)>;

    /// Blocks these signals in this thread and those that it starts.
    ProcessSignals();

    /// Ends the waiting thread.
    ~ProcessSignals();

    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// Starts the thread. \pre It has not been started before.
    void forwardTo(Handler handler);

private:
    sigset_t signals_{};
    std::thread thread_;
};

} // namespace shallotwalk
