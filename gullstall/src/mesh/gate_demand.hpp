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

/// Least share of a route's requests that is let in: a few always pass, and tell
/// how many more there are. With one in fifty a gate sees about ten a second of
/// five hundred that are asked for.
constexpr double least_share = 0.02;

/// What the requests of all callers would ask of an upstream if none was refused,
/// by the route where they entered. Each call tells which share of its kind was
/// let in, and so stands for all that were refused beside it. The estimate does
/// not move with the share: nothing swings, however long the calls of a request
/// take to arrive.
struct gate_demand
{
    /// Demand of the requests of one route.
    struct route_demand
    {
        double in_window = 0;  ///< calls of this window, each for its share
        double per_s = 0;      ///< moving average
    };

    std::map<std::string, route_demand> by_root;
    time_point window_end{};
};

/// Notes a call.
/// \param root route of the caller's request that it belongs to
/// \param share of the requests of \a root that was let in, above 0
void note_arrival(gate_demand &it, const std::string &root, double share);

/// Closes the window when it is over.
/// \returns whether the averages have moved
bool update_gate_demand(gate_demand &it, time_point now);

/// \param weights share that is let in at level 1, by root route; requests of
/// other routes are not cut for this service
/// \returns the demand, added up by weight
std::vector<mesh_wire::demand_part> demand_by_weight(const gate_demand &it,
                                                     const std::map<std::string, double> &weights);

/// Runs that an upstream takes in a second when all its slots are busy; 0 when it has
/// run nothing.
struct gate_capacity
{
    double full = 0;
    double beside_queue = 0;  ///< less what is needed to work off soon what waits

    bool operator==(const gate_capacity &) const = default;
};

gate_capacity capacity_of(const run_gate &it);

}  // namespace gullstall::mesh

#endif
