#include "gullstall/src/overload/run_costs.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Weight of one run in the moving averages once enough runs were measured.
constexpr double run_weight = 0.05;

/// Number of runs from which the mean is used.
constexpr std::uint32_t min_runs = 5;

}  // namespace

void record_held_time(run_costs &it, const std::string &route, duration held)
{
    held_time &known = it.by_route[route];
    ++known.runs;
    double weight = std::max(run_weight, 1.0 / known.runs);
    known.mean_us += weight * (static_cast<double>(held.count()) - known.mean_us);
}

double mean_held_us(const run_costs &it, const std::string &route)
{
    auto found = it.by_route.find(route);
    return found == it.by_route.end() || found->second.runs < min_runs ? 0 : found->second.mean_us;
}

}  // namespace gullstall
