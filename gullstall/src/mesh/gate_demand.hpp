#ifndef GULLSTALL_MESH_GATE_DEMAND_HPP
#define GULLSTALL_MESH_GATE_DEMAND_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_generated.h"
#include "gullstall/src/mesh/run_gate.hpp"

namespace gullstall::mesh {

/// Minimum share of a route's requests that is admitted, so that the gates still see
/// enough requests to measure the demand: with one in fifty, a gate sees about ten of
/// 500 requests per second.
constexpr double min_admitted_share = 0.02;

/// Estimate of the demand on an upstream if no request was refused, by the route at
/// which the requests entered. Each call carries the share of its route's requests that
/// was admitted and is weighted by the inverse of it, so that it also accounts for the
/// refused ones. The estimate does not depend on the admitted share, which keeps the
/// control loop from oscillating however long the nested calls take to arrive.
struct gate_demand
{
    /// Demand of the requests of one route.
    struct route_demand
    {
        double in_window = 0;  ///< load of the calls in the current window, weighted by 1 / share
        double per_s = 0;      ///< moving average
    };

    std::map<std::string, route_demand> by_root;
    time_point window_end{};
};

/// Records the arrival of a call.
/// \param root route of the caller's request that the call belongs to
/// \param share admitted share of the requests of \a root, above 0
/// \param load of the call, in runs or slot milliseconds
void record_arrival(gate_demand &it, const std::string &root, double share, double load = 1);

/// Ends the current window if its time is over.
/// \returns whether the averages were updated
bool update_gate_demand(gate_demand &it, time_point now);

/// \param weights admitted share at level 1, by root route; requests of other routes
/// are never refused on behalf of this service
/// \returns the demand, summed by weight
std::vector<mesh_wire::demand_part> demand_by_weight(const gate_demand &it,
                                                     const std::map<std::string, double> &weights);

/// Runs per second that an upstream completes with all slots busy and that its rate limit
/// allows, beside the calls that wait; 0 if it has not completed a run yet and has no limit.
struct gate_capacity
{
    double available_per_s = 0;  ///< reduced by the rate needed to drain the queue
    double urgent_per_s = 0;     ///< reduced by the rate needed to drain its most urgent calls

    bool operator==(const gate_capacity &) const = default;
};

/// \param urgent_waiting calls of the most urgent class in the queue
gate_capacity capacity_of(const run_gate &it, std::size_t urgent_waiting = 0);

}  // namespace gullstall::mesh

#endif
