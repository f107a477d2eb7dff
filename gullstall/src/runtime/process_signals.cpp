#include "gullstall/src/runtime/process_signals.hpp"

#include <csignal>
#include <initializer_list>

namespace gullstall::runtime {

namespace {

sigset_t handled_signals()
{
    sigset_t out;
    sigemptyset(&out);
    for (int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&out, signal);
    }
    return out;
}

}  // namespace

void hold_signals()
{
    sigset_t all = handled_signals();
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

void release_signals()
{
    sigset_t all = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &all, nullptr);
}

}  // namespace gullstall::runtime
