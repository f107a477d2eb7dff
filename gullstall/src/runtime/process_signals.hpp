#ifndef GULLSTALL_RUNTIME_PROCESS_SIGNALS_HPP
#define GULLSTALL_RUNTIME_PROCESS_SIGNALS_HPP

namespace gullstall::runtime {

/// Holds back SIGTERM, SIGINT and SIGHUP, which would end a process that has no handlers yet.
/// To be called before any thread is started.
void hold_signals();

/// Delivers signals again to the calling thread, those that were held back first. To be called
/// once there are handlers.
void release_signals();

}  // namespace gullstall::runtime

#endif
