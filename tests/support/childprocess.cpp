#include "support/childprocess.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace shallotwalk {

namespace {

using SteadyClock = std::chrono::steady_clock;

int millisecondsUntil(SteadyClock::time_point deadline)
{
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - SteadyClock::now()).count();
    return left > 0 ? static_cast<int>(left) : 0;
}

/// Runs in the child: only calls that are safe after a fork.
[[noreturn]] void runProgram(int output, pid_t parent, char *const *arguments)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(127);
    dup2(output, STDOUT_FILENO);
    execv(arguments[0], arguments);
    _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           bool listens, std::chrono::milliseconds wait)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe failed");
    start(program, arguments, ends[1]);
    close(ends[1]);
    output_ = ends[0];
    if (pid_ > 0 && (!listens || readPort(wait))) {
        reader_ = std::thread([this] { discardOutput(); });
        return;
    }
    kill();
    close(output_);
    throw std::runtime_error(program + " did not print a port");
}

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           int standardOutput)
{
    start(program, arguments, standardOutput);
    if (pid_ < 0)
        throw std::runtime_error("fork failed");
}

void ChildProcess::start(const std::string &program, const std::vector<std::string> &arguments,
                         int standardOutput)
{
    std::vector<char *> list{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments)
        list.push_back(const_cast<char *>(argument.c_str()));
    list.push_back(nullptr);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0)
        runProgram(standardOutput, parent, list.data());
}

ChildProcess::~ChildProcess()
{
    kill();
    if (reader_.joinable())
        reader_.join();
    if (output_ >= 0)
        close(output_);
}

void ChildProcess::discardOutput()
{
    char buffer[4096];
    while (read(output_, buffer, sizeof buffer) > 0) {
    }
}

bool ChildProcess::readPort(std::chrono::milliseconds wait)
{
    const std::string marker = "listening on ";
    const auto deadline = SteadyClock::now() + wait;
    std::string text;
    for (;;) {
        const auto start = text.find(marker);
        const auto end = start == std::string::npos ? start : text.find('\n', start);
        if (end != std::string::npos) {
            const auto line = text.substr(start, end - start);
            port_ = static_cast<std::uint16_t>(std::atoi(line.c_str() + line.rfind(':') + 1));
            return port_ != 0;
        }
        pollfd entry{output_, POLLIN, 0};
        if (poll(&entry, 1, millisecondsUntil(deadline)) <= 0)
            return false;
        char buffer[512];
        const auto count = read(output_, buffer, sizeof buffer);
        if (count <= 0)
            return false;
        text.append(buffer, static_cast<std::size_t>(count));
    }
}

bool ChildProcess::terminate(std::chrono::milliseconds wait)
{
    if (pid_ > 0)
        ::kill(pid_, SIGTERM);
    return waitForExit(wait);
}

void ChildProcess::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
    }
    recordExit(status);
}

void ChildProcess::pause()
{
    if (pid_ > 0)
        ::kill(pid_, SIGSTOP);
}

void ChildProcess::resume()
{
    if (pid_ > 0)
        ::kill(pid_, SIGCONT);
}

bool ChildProcess::waitForExit(std::chrono::milliseconds wait)
{
    const auto deadline = SteadyClock::now() + wait;
    // A pidfd becomes readable at the child's end, so that no loop has to poll waitpid().
    const int handle = pid_ > 0 ? static_cast<int>(syscall(SYS_pidfd_open, pid_, 0)) : -1;
    if (handle >= 0) {
        pollfd entry{handle, POLLIN, 0};
        while (poll(&entry, 1, millisecondsUntil(deadline)) < 0 && errno == EINTR) {
        }
        close(handle);
    }
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
        recordExit(status);
    return pid_ <= 0;
}

void ChildProcess::recordExit(int status)
{
    exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    pid_ = -1;
}

} // namespace shallotwalk
