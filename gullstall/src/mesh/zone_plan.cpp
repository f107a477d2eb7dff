#include "gullstall/src/mesh/zone_plan.hpp"

#include <algorithm>
#include <cmath>

#include "gullstall/src/mesh/call_graph.hpp"

namespace gullstall::mesh {

namespace {

/// Rounds in which the values of routes that call each other are approached, at most.
constexpr int max_rounds = 16;

/// Bound on the calls of a cycle, whose sum may have no end.
constexpr double max_calls_below = 1000;

/// Change of a value below which it counts as reached.
constexpr double tolerance = 0.01;

/// Cross-zone calls of one call of a route and of all calls below it, without the call itself:
/// by the zone of the run.
using zone_values = std::vector<double>;

/// Zones of the upstreams by index.
struct zone_table
{
    std::vector<std::string> names;
    std::vector<std::vector<std::size_t>> of_route;  ///< where a route has upstreams
};

zone_table make_zone_table(const call_graph &graph, const service_zones &present)
{
    std::set<std::string> all;
    for (const auto &[service, zones] : present) {
        all.insert(zones.begin(), zones.end());
    }
    zone_table out{{all.begin(), all.end()}, {}};
    for (const traffic_route *route : graph.routes) {
        std::vector<std::size_t> &zones = out.of_route.emplace_back();
        // The services of a split nearly always run in the same zones: use those of the first.
        auto known =
            route->services.empty() ? present.end() : present.find(route->services.front().service);
        for (std::size_t i = 0; known != present.end() && i < out.names.size(); ++i) {
            if (known->second.count(out.names[i]) > 0) {
                zones.push_back(i);
            }
        }
    }
    return out;
}

/// \returns the cross-zone calls of a call of a route from \a zone and of all calls below it, if
/// the call goes to the zone with the lowest number
double cost_of_call(const std::vector<std::size_t> &zones, const zone_values &below,
                    std::size_t zone)
{
    double best = -1;
    for (std::size_t each : zones) {
        double cost = (each == zone ? 0 : 1) + below[each];
        best = best < 0 ? cost : std::min(best, cost);
    }
    return std::max(best, 0.0);
}

/// Sets the values of a route from those of its calls as they are known.
/// \returns the largest change
double update_route(const call_graph &graph, const zone_table &zones, std::size_t route,
                    std::vector<zone_values> &below)
{
    double change = 0;
    for (std::size_t zone = 0; zone < zones.names.size(); ++zone) {
        double cost = 0;
        for (const call_graph::call &call : graph.calls[route]) {
            cost +=
                call.per_run * cost_of_call(zones.of_route[call.route], below[call.route], zone);
        }
        cost = std::min(cost, max_calls_below);
        change = std::max(change, std::abs(cost - below[route][zone]));
        below[route][zone] = cost;
    }
    return change;
}

}  // namespace

zone_plan make_zone_plan(const traffic_policy &policy, const known_chains &calls,
                         const service_zones &present)
{
    call_graph graph = make_call_graph(policy, calls);
    zone_table zones = make_zone_table(graph, present);
    std::vector<zone_values> below(graph.routes.size(), zone_values(zones.names.size()));
    for (const std::vector<std::size_t> &members : graph.components) {
        double change = 1;
        for (int round = 0; round < max_rounds && change > tolerance; ++round) {
            change = 0;
            for (std::size_t route : members) {
                change = std::max(change, update_route(graph, zones, route, below));
            }
        }
    }
    zone_plan out;
    for (std::size_t i = 0; i < graph.routes.size(); ++i) {
        for (std::size_t zone = 0; zone < zones.names.size() && !graph.calls[i].empty(); ++zone) {
            out.cross_zone_calls[graph.routes[i]->name][zones.names[zone]] = below[i][zone];
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
