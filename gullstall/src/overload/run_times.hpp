#ifndef GULLSTALL_OVERLOAD_RUN_TIMES_HPP
#define GULLSTALL_OVERLOAD_RUN_TIMES_HPP

#include <cstdint>
#include <map>
#include <string>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Slot hold time of the runs of one operation.
struct run_time
{
    double mean_hold_us = 0;  ///< moving average, microseconds
    std::uint32_t runs = 0;

    bool operator==(const run_time &) const = default;
};

/// Slot hold times by operation, measured on answered runs.
struct run_times
{
    std::map<std::string, run_time> operations;
};

/// Records that a run of \a operation was answered after it \a held a slot.
void record_run_time(run_times &times, const std::string &operation, duration held);

/// \returns whether a call can finish within \a left when it waits for \a wait and
/// then runs for half the mean time. Operations with few recorded runs always can:
/// a single run on a paused worker would otherwise refuse all calls that follow.
/// Each refusal reduces the mean slightly. Without that, a service that recovers
/// after a slow period would refuse every call and never measure a shorter time.
bool can_finish(run_times &times, const std::string &operation, duration wait, duration left);

}  // namespace gullstall

#endif
