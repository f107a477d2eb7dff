#ifndef GULLSTALL_PROGRAMS_BUNDLE_COMMANDS_HPP
#define GULLSTALL_PROGRAMS_BUNDLE_COMMANDS_HPP

#include <CLI/CLI.hpp>

namespace gullstall::programs {

/// Adds `keygen` and `bundle lint | sign | publish`.
/// \param exit_code takes the outcome of the command that ran: 0 done, 1 failed,
/// 2 bad input, 3 lost a race
void add_bundle_commands(CLI::App &app, int &exit_code);

}  // namespace gullstall::programs

#endif
