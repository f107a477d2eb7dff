#include "gullstall/src/overload/run_costs.hpp"

#include <algorithm>

namespace gullstall {

namespace {

/// Weight of one run in the moving averages once enough runs were measured.
constexpr double run_weight = 0.05;

/// Number of runs from which the measures are used.
constexpr std::uint32_t min_runs = 5;

/// Fraction of the distance to the longest run by which a shorter one lowers it: a rare long run
/// is remembered for some hundred runs.
constexpr double longest_decay = 0.01;

void record_longest(held_time &it, duration held)
{
    auto us = static_cast<double>(held.count());
    it.longest_us = std::max(us, it.longest_us + longest_decay * (us - it.longest_us));
}

}  // namespace

void record_held_time(run_costs &it, const std::string &route, duration held)
{
    held_time &known = it.by_route[route];
    ++known.runs;
    double weight = std::max(run_weight, 1.0 / known.runs);
    known.mean_us += weight * (static_cast<double>(held.count()) - known.mean_us);
    record_longest(known, held);
}

void record_unfinished_run(run_costs &it, const std::string &route, duration held)
{
    record_longest(it.by_route[route], held);
}

std::optional<duration> longest_held(const run_costs &it, const std::string &route)
{
    auto found = it.by_route.find(route);
    if (found == it.by_route.end() || found->second.runs < min_runs) {
        return std::nullopt;
    }
    return duration(static_cast<std::int64_t>(found->second.longest_us));
}

double mean_held_us(const run_costs &it, const std::string &route)
{
    auto found = it.by_route.find(route);
    return found == it.by_route.end() || found->second.runs < min_runs ? 0 : found->second.mean_us;
}

}  // namespace gullstall
