#ifndef GULLSTALL_CALLER_HPP
#define GULLSTALL_CALLER_HPP

/// Caller module: what a caller of the nodes needs. plan_repeat() decides when
/// a request is sent again; runtime/caller_client.hpp sends it over HTTP.

#include "gullstall/src/caller/repeat.hpp"

#endif
