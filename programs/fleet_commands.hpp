#ifndef GULLSTALL_PROGRAMS_FLEET_COMMANDS_HPP
#define GULLSTALL_PROGRAMS_FLEET_COMMANDS_HPP

#include <CLI/CLI.hpp>

namespace gullstall::programs {

/// Adds the commands that ask nodes on their admin ports: `members`, `status`,
/// `timeline`, `explain` and `drain`.
/// \param exit_code takes the outcome of the command that ran: 0 done, 1 failed,
/// 2 bad input
void add_fleet_commands(CLI::App &app, int &exit_code);

}  // namespace gullstall::programs

#endif
