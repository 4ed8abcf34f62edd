#include "include/base/StopSignal.h"

#include <csignal>

namespace arbutus::base {

static sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

void blockStopSignals()
{
    sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool isStopSignalPending()
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGINT) || sigismember(&pending, SIGTERM);
}

int waitForStopSignal()
{
    sigset_t signals = stopSignals();
    int number = 0;
    sigwait(&signals, &number);
    return number;
}

} // namespace arbutus::base
