#ifndef GULLSTALL_SUSPECTS_HPP
#define GULLSTALL_SUSPECTS_HPP

/// Suspects module: tracking of requests that may crash the upstreams that run them.

#include "gullstall/src/suspects/crash_suspects.hpp"
#include "gullstall/src/suspects/request_signature.hpp"
#include "gullstall/src/suspects/suspect_table.hpp"

#endif
