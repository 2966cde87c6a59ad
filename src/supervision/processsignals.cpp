#include "supervision/processsignals.h"

namespace shallotwalk {

ProcessSignals::ProcessSignals()
{
    sigemptyset(&signals_);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
        sigaddset(&signals_, signal);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

ProcessSignals::~ProcessSignals()
{
    if (!thread_.joinable())
        return;
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
}

void ProcessSignals::forwardTo(Handler handler)
{
    thread_ = std::thread([signals = signals_, handler = std::move(handler)] {
        int received = 0;
        while (sigwait(&signals, &received) == 0 && received != SIGUSR1)
            handler(received);
    });
}

} // namespace shallotwalk
