#ifndef GULLSTALL_OVERLOAD_RUN_COSTS_HPP
#define GULLSTALL_OVERLOAD_RUN_COSTS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Time for which the runs of one route hold a slot of an upstream.
struct held_time
{
    double mean_us = 0;      ///< moving average, microseconds
    double longest_us = 0;   ///< of the recent runs, microseconds
    std::uint32_t runs = 0;  ///< number of runs measured

    bool operator==(const held_time &) const = default;
};

/// Costs of the runs on one upstream, by route. A run that waits for its own calls holds its
/// slot meanwhile, so that the held time counts and not the work.
struct run_costs
{
    std::map<std::string, held_time> by_route;
};

/// Records that a run of \a route \a held a slot until it was answered.
void record_held_time(run_costs &it, const std::string &route, duration held);

/// Records that a run of \a route was given up after it had \a held a slot.
void record_unfinished_run(run_costs &it, const std::string &route, duration held);

/// \returns the longest held time of the route's recent runs; none if too few were measured
std::optional<duration> longest_held(const run_costs &it, const std::string &route);

/// \returns the mean held time of the route's runs in microseconds; 0 if too few runs were
/// measured
double mean_held_us(const run_costs &it, const std::string &route);

}  // namespace gullstall

#endif
