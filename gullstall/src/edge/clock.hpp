#ifndef GULLSTALL_EDGE_CLOCK_HPP
#define GULLSTALL_EDGE_CLOCK_HPP

#include "gullstall/src/core/time.hpp"

namespace gullstall::edge {

/// \returns the time since the instance started. It counts the time in which
/// the instance was suspended, which the steady clock leaves out: deadlines
/// would seem seconds away that have passed long ago.
time_point now();

/// \returns the time of day, Unix milliseconds
std::uint64_t unix_ms();

}  // namespace gullstall::edge

#endif
