#ifndef GULLSTALL_RETRY_HPP
#define GULLSTALL_RETRY_HPP

/// Retry module: the allowance of a request and the budget of a service.

#include "gullstall/src/retry/allowance.hpp"
#include "gullstall/src/retry/budget.hpp"

#endif
