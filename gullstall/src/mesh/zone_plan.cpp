#include "gullstall/src/mesh/zone_plan.hpp"

#include <algorithm>

namespace gullstall::mesh {

namespace {

/// Maximum depth of nested calls that is followed; also ends cycles in the call graph.
constexpr int max_call_depth = 24;

struct plan_input
{
    const traffic_policy &policy;
    const std::map<std::string, calls_per_run> &calls;
    const service_zones &present;
    zone_plan &out;
};

double cost_below_run(plan_input &p, const std::string &route, const std::string &zone, int depth);

/// \returns the cross-zone calls of one call of \a route from \a zone and of all calls
/// below it, if each goes to the zone with the lowest cost
double cost_of_call(plan_input &p, const std::string &route, const std::string &zone, int depth)
{
    const traffic_route *known = find_route_by_name(p.policy, route);
    if (known == nullptr || known->services.empty()) {
        return 0;
    }
    // The services of a split nearly always run in the same zones: use those of the first.
    auto zones = p.present.find(known->services.front().service);
    if (zones == p.present.end()) {
        return 0;
    }
    double best = -1;
    for (const std::string &each : zones->second) {
        double cost = (each == zone ? 0 : 1) + cost_below_run(p, route, each, depth);
        best = best < 0 ? cost : std::min(best, cost);
    }
    return std::max(best, 0.0);
}

double cost_below_run(plan_input &p, const std::string &route, const std::string &zone, int depth)
{
    auto calls = p.calls.find(route);
    if (calls == p.calls.end() || depth > max_call_depth) {
        return 0;
    }
    auto &known = p.out.cross_zone_calls[route];
    if (auto found = known.find(zone); found != known.end()) {
        return found->second;
    }
    double cost = 0;
    for (const auto &[child, n] : calls->second) {
        cost += n * cost_of_call(p, child, zone, depth + 1);
    }
    p.out.cross_zone_calls[route][zone] = cost;
    return cost;
}

}  // namespace

zone_plan make_zone_plan(const traffic_policy &policy,
                         const std::map<std::string, calls_per_run> &calls,
                         const service_zones &present)
{
    std::set<std::string> zones;
    for (const auto &[service, service_zone_set] : present) {
        zones.insert(service_zone_set.begin(), service_zone_set.end());
    }
    zone_plan out;
    plan_input p{policy, calls, present, out};
    for (const auto &[route, below] : calls) {
        for (const std::string &zone : zones) {
            cost_below_run(p, route, zone, 0);
        }
    }
    return out;
}

double cross_zone_calls_below(const zone_plan &it, const std::string &route,
                              const std::string &zone)
{
    auto known = it.cross_zone_calls.find(route);
    if (known == it.cross_zone_calls.end()) {
        return 0;
    }
    auto found = known->second.find(zone);
    return found == known->second.end() ? 0 : found->second;
}

}  // namespace gullstall::mesh
