#ifndef GULLSTALL_RETRY_HPP
#define GULLSTALL_RETRY_HPP

/// Retry module: retry allowances per request and retry budgets per service.

#include "gullstall/src/retry/allowance.hpp"
#include "gullstall/src/retry/budget.hpp"

#endif
