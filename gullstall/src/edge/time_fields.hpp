#ifndef GULLSTALL_EDGE_TIME_FIELDS_HPP
#define GULLSTALL_EDGE_TIME_FIELDS_HPP

#include <optional>
#include <string_view>

#include "gullstall/src/core/time.hpp"

namespace gullstall::edge {

/// Reads the time for which a caller waits, in milliseconds.
/// \returns a day for anything longer, zero for a negative number, none if it is no number
std::optional<duration> parse_time_left(std::string_view text);

/// Reads "timeout=N" of a Keep-Alive field, in seconds.
/// \returns a day for anything longer, none if there is no such number
std::optional<duration> parse_keep_alive_timeout(std::string_view text);

}  // namespace gullstall::edge

#endif
