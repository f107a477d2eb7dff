#ifndef GULLSTALL_MESH_SERVICE_COSTS_HPP
#define GULLSTALL_MESH_SERVICE_COSTS_HPP

#include <map>
#include <set>
#include <string>

#include "gullstall/policy.hpp"
#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/overload/run_costs.hpp"

namespace gullstall::mesh {

/// Time for which one run holds a slot of an upstream of average speed, microseconds, by
/// route.
using route_costs = std::map<std::string, double>;

/// \param spread factor by which the latency objectives of a service's routes have to differ;
/// none is returned for 0
/// \returns the services whose runs are expected to differ in cost so much that counting them
/// does not tell their load
std::set<std::string> services_counted_by_cost(const traffic_policy &policy, double spread);

/// \returns what the upstream of a node has told of the cost of a run of \a route,
/// microseconds; 0 if nothing
double told_run_us(const mesh_wire::node_status_message &it, const std::string &route);

/// \returns the costs at each service whose upstreams tell them: the slots of the usable
/// upstreams divided by the runs of the route that they complete together when all slots
/// are busy
std::map<std::string, route_costs> costs_by_service(const directory &it, time_point now);

/// \returns the speed of an upstream relative to its service, independent of the mix of its
/// runs; 1 if it has told no costs
double upstream_speed(const mesh_wire::node_status_message &it, const route_costs &service);

/// \returns whether costs have changed so much that decisions based on \a before are outdated
bool have_costs_changed(const route_costs &before, const route_costs &now);

}  // namespace gullstall::mesh

#endif
