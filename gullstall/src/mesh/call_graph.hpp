#ifndef GULLSTALL_MESH_CALL_GRAPH_HPP
#define GULLSTALL_MESH_CALL_GRAPH_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "gullstall/policy.hpp"
#include "gullstall/src/mesh/call_chain.hpp"

namespace gullstall::mesh {

/// Learned calls between the routes of a policy. Calls of routes that the policy lacks are left
/// out.
struct call_graph
{
    struct call
    {
        std::size_t route;  ///< index
        double per_run;
    };

    std::vector<const traffic_route *> routes;
    std::vector<std::vector<call>> calls;  ///< made by a run of the route of the same index

    /// The strongly connected components, the called ones before those that call them: groups of
    /// routes whose runs call each other, directly or not, and single routes.
    std::vector<std::vector<std::size_t>> components;
};

/// \param policy has to outlive the graph
call_graph make_call_graph(const traffic_policy &policy, const known_chains &calls);

/// Values of routes, by index of the route and then by column.
using route_values = std::vector<std::vector<double>>;

/// Adds to the values of each route those of all runs that one run of it causes. The work grows
/// with the number of calls in the graph. Where routes call each other the sum is approached in a
/// bounded number of rounds and does not exceed max_runs_per_run times the largest own value.
/// \param own values of one run of each route
route_values sum_over_calls(const call_graph &it, route_values own);

/// Bound on the runs that one run causes of a route: learned calls may be so many that the sum
/// over a cycle has no end.
inline constexpr double max_runs_per_run = 1000;

}  // namespace gullstall::mesh

#endif
