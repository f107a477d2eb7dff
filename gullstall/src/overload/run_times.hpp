#ifndef GULLSTALL_OVERLOAD_RUN_TIMES_HPP
#define GULLSTALL_OVERLOAD_RUN_TIMES_HPP

#include <cstdint>
#include <map>
#include <string>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// How long runs of one operation hold a slot.
struct run_time
{
    double held_us = 0;  ///< moving average, microseconds
    std::uint32_t runs = 0;

    bool operator==(const run_time &) const = default;
};

/// How long runs of each operation hold a slot, learned from those answered.
struct run_times
{
    std::map<std::string, run_time> operations;
};

/// Notes that a run of \a operation was answered after it \a held a slot.
void learn_run_time(run_times &it, const std::string &operation, duration held);

/// \returns whether a call can still finish when it waits for \a wait and then
/// takes half the usual time; an operation of which a few runs only are known
/// can, since one run of a paused worker would refuse all that follow. Each refusal
/// lowers what was learned by a little: a service that became quick again after
/// a slow time runs no call to learn it from otherwise, and refuses for ever.
bool can_finish(run_times &it, const std::string &operation, duration wait, duration left);

}  // namespace gullstall

#endif
