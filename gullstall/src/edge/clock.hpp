#ifndef GULLSTALL_EDGE_CLOCK_HPP
#define GULLSTALL_EDGE_CLOCK_HPP

#include "gullstall/src/core/time.hpp"

namespace gullstall::edge {

/// \returns the time since the instance booted, including time in suspension. The
/// steady clock omits suspension, so that deadlines that have long passed would appear
/// to be seconds away.
time_point now();

/// \returns the wall-clock time in Unix milliseconds
std::uint64_t unix_ms();

}  // namespace gullstall::edge

#endif
