#ifndef GULLSTALL_PLATFORM_HPP
#define GULLSTALL_PLATFORM_HPP

/// Platform module: the typed requests and answers of the platform's table
/// and object store.

#include "gullstall/src/platform/request.hpp"

#endif
