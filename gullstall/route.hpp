#ifndef GULLSTALL_ROUTE_HPP
#define GULLSTALL_ROUTE_HPP

/// Route module: the choice of an upstream.

#include "gullstall/src/route/router.hpp"

#endif
