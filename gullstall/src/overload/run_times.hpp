#ifndef GULLSTALL_OVERLOAD_RUN_TIMES_HPP
#define GULLSTALL_OVERLOAD_RUN_TIMES_HPP

#include <map>
#include <string>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// How long runs of each operation hold a slot, learned from those answered.
struct run_times
{
    std::map<std::string, double> held_us;  ///< moving average by operation
};

/// Notes that a run of \a operation was answered after it \a held a slot.
void learn_run_time(run_times &it, const std::string &operation, duration held);

/// \returns whether a call can still finish when it waits for \a wait and then
/// takes half the usual time; an operation not yet learned can. Each refusal
/// lowers what was learned by a little: a service that became quick again after
/// a slow time runs no call to learn it from otherwise, and refuses for ever.
bool can_finish(run_times &it, const std::string &operation, duration wait, duration left);

}  // namespace gullstall

#endif
