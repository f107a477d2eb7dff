#ifndef GULLSTALL_OVERLOAD_HPP
#define GULLSTALL_OVERLOAD_HPP

/// Overload module: admission control and queueing of requests.

#include "gullstall/src/overload/demand.hpp"
#include "gullstall/src/overload/level_control.hpp"
#include "gullstall/src/overload/priority.hpp"
#include "gullstall/src/overload/rate_limiter.hpp"
#include "gullstall/src/overload/retry_after.hpp"
#include "gullstall/src/overload/rules.hpp"
#include "gullstall/src/overload/run_costs.hpp"
#include "gullstall/src/overload/run_queue.hpp"
#include "gullstall/src/overload/run_times.hpp"
#include "gullstall/src/overload/touch_table.hpp"

#endif
