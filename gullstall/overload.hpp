#ifndef GULLSTALL_OVERLOAD_HPP
#define GULLSTALL_OVERLOAD_HPP

/// Overload module: which requests a service takes, and in which order.

#include "gullstall/src/overload/level_control.hpp"
#include "gullstall/src/overload/priority.hpp"
#include "gullstall/src/overload/rules.hpp"
#include "gullstall/src/overload/run_queue.hpp"
#include "gullstall/src/overload/touch_table.hpp"

#endif
