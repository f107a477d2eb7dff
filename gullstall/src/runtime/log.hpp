#ifndef GULLSTALL_RUNTIME_LOG_HPP
#define GULLSTALL_RUNTIME_LOG_HPP

#include <string>

#include "gullstall/src/node/action.hpp"

namespace gullstall::runtime {

/// Opens the log on standard error.
/// \param level one of debug, info, warn, error; empty: info
void open_log(const std::string &instance, const std::string &level);

/// Writes one line.
void write_line(const write_log &it);

}  // namespace gullstall::runtime

#endif
