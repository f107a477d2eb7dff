#ifndef GULLSTALL_ROUTE_HPP
#define GULLSTALL_ROUTE_HPP

/// Route module: load balancing among upstreams.

#include "gullstall/src/route/router.hpp"

#endif
