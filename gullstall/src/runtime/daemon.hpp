#ifndef GULLSTALL_RUNTIME_DAEMON_HPP
#define GULLSTALL_RUNTIME_DAEMON_HPP

#include "gullstall/src/core/result.hpp"
#include "gullstall/src/settings/node_settings.hpp"

namespace gullstall::runtime {

/// Runs a node until it is asked to stop by SIGTERM or SIGINT and everything in
/// flight is finished.
/// \returns done after a planned stop, or why the node could not start
result<done> run_daemon(const node_settings &settings);

}  // namespace gullstall::runtime

#endif
