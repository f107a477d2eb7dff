#include "gullstall/src/mesh/service_costs.hpp"

#include <algorithm>
#include <cmath>

namespace gullstall::mesh {

namespace {

/// Relative change of a cost that outdates the weights computed from it.
constexpr double min_cost_change = 0.1;

struct objective_range
{
    duration shortest{};
    duration longest{};
};

void add_objective(std::map<std::string, objective_range> &it, const traffic_route &route)
{
    for (const weighted_service &part : route.services) {
        auto [known, is_new] = it.try_emplace(
            part.service, objective_range{route.latency_objective, route.latency_objective});
        known->second.shortest = std::min(known->second.shortest, route.latency_objective);
        known->second.longest = std::max(known->second.longest, route.latency_objective);
    }
}

/// Slots of the upstreams that run a route, and the runs that they complete per microsecond.
struct cost_sums
{
    double slots = 0;
    double runs_per_us = 0;
};

}  // namespace

std::set<std::string> services_counted_by_cost(const traffic_policy &policy, double spread)
{
    std::map<std::string, objective_range> ranges;
    for (const traffic_route &route : policy.routes) {
        if (route.latency_objective > duration{}) {
            add_objective(ranges, route);
        }
    }
    std::set<std::string> out;
    for (const auto &[service, range] : ranges) {
        if (spread > 0 && to_seconds(range.longest) >= spread * to_seconds(range.shortest)) {
            out.insert(service);
        }
    }
    return out;
}

double told_run_us(const mesh_wire::node_status_message &it, const std::string &route)
{
    auto found = std::find_if(it.run_costs.begin(), it.run_costs.end(),
                              [&](const auto &cost) { return cost->route == route; });
    return found == it.run_costs.end() ? 0 : (*found)->held_us;
}

std::map<std::string, route_costs> costs_by_service(const directory &it, time_point now)
{
    std::map<std::string, std::map<std::string, cost_sums>> sums;
    for (const auto &[name, view] : it.nodes) {
        if (view.status.run_costs.empty() || !is_usable(view, view.status.service, now)) {
            continue;
        }
        for (const auto &cost : view.status.run_costs) {
            cost_sums &sum = sums[view.status.service][cost->route];
            sum.slots += view.status.slots;
            sum.runs_per_us += static_cast<double>(view.status.slots) / std::max(1U, cost->held_us);
        }
    }
    std::map<std::string, route_costs> out;
    for (const auto &[service, routes] : sums) {
        for (const auto &[route, sum] : routes) {
            out[service][route] = sum.slots / sum.runs_per_us;
        }
    }
    return out;
}

double upstream_speed(const mesh_wire::node_status_message &it, const route_costs &service)
{
    double own = 0;
    double usual = 0;
    for (const auto &cost : it.run_costs) {
        auto known = service.find(cost->route);
        if (known != service.end()) {
            own += cost->held_us;
            usual += known->second;
        }
    }
    return own > 0 ? usual / own : 1;
}

bool have_costs_changed(const route_costs &before, const route_costs &now)
{
    return before.size() != now.size() ||
           std::any_of(now.begin(), now.end(), [&](const auto &entry) {
               auto found = before.find(entry.first);
               return found == before.end() ||
                      std::abs(entry.second - found->second) > min_cost_change * found->second;
           });
}

}  // namespace gullstall::mesh
