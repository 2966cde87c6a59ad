#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace shallotwalk {

/// Starts a program by fork and exec, and ends exactly that process by its id. The child also
/// ends when the thread that started it ends. Not thread-safe.
class ChildProcess
{
public:
    /// Starts \a program and waits until it prints "listening on <address>:<port>" or, if
    /// \a listens is false, not at all. Throws std::runtime_error if the line doesn't come within
    /// \a wait; the child is killed then.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 bool listens = true,
                 std::chrono::milliseconds wait = std::chrono::milliseconds(10000));

    /// Starts \a program with \a standardOutput as its output, which stays the caller's.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 int standardOutput);

    /// Kills the child if it still runs.
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Port of the "listening on" line.
    std::uint16_t port() const { return port_; }

    pid_t pid() const { return pid_; }

    /// Sends SIGTERM and waits. False if the child still runs after \a wait.
    bool terminate(std::chrono::milliseconds wait = std::chrono::milliseconds(5000));

    /// Sends SIGKILL and waits until the child has ended.
    void kill();

    /// Stops and continues the child with SIGSTOP and SIGCONT.
    void pause();
    void resume();

    /// Waits for the child's end. False if it still runs after \a wait.
    bool waitForExit(std::chrono::milliseconds wait);

    /// Exit code once the child has ended, or -1 if a signal ended it.
    int exitCode() const { return exitCode_; }

private:
    void start(const std::string &program, const std::vector<std::string> &arguments,
               int standardOutput);
    bool readPort(std::chrono::milliseconds wait);
    void discardOutput();
    void recordExit(int status);

    pid_t pid_ = -1;
    int output_ = -1;
    std::uint16_t port_ = 0;
    int exitCode_ = -1;
    std::thread reader_; ///< Keeps the pipe from filling up, which would block the child.
};

} // namespace shallotwalk
