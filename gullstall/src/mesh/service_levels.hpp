#ifndef GULLSTALL_MESH_SERVICE_LEVELS_HPP
#define GULLSTALL_MESH_SERVICE_LEVELS_HPP

#include <map>
#include <string>

#include "gullstall/policy.hpp"
#include "gullstall/src/mesh/call_chain.hpp"
#include "gullstall/src/mesh/switches.hpp"

namespace gullstall::mesh {

/// Runs that one request of a route needs, by service, its own service's
/// included and all calls below counted.
using service_runs = std::map<std::string, double>;

/// Level at which nothing is refused. It is beyond the share that the least
/// urgent of three classes needs (see class_step).
constexpr double open_level = 6;

/// What the nodes of a service say of it.
struct service_state
{
    /// How much is let in: at level 1 all of the most urgent class and the shares
    /// of the others that go with it.
    double level = open_level;
    /// Share of the most urgent class that is let in at least: what fits when it is
    /// alone. What waits may be the work of less urgent requests, behind which the
    /// urgent don't wait.
    double urgent_share = 0;
    double shed = 0;  ///< share of the calls that its upstreams turn away

    bool operator==(const service_state &) const = default;
};

/// What each route asks of the services, and how far its requests are let in
/// when one of these is short of room.
struct service_levels
{
    std::map<std::string, calls_per_run> calls;  ///< by route, as learned
    std::map<std::string, service_runs> needs;   ///< by route
    /// By service, then by route: the share of the route's requests that is let
    /// in at level 1.
    std::map<std::string, std::map<std::string, double>> weights;
};

/// Share of a class that is let in beside all of the next more urgent class, as
/// long as room is short. A strict order would serve nothing of the least urgent
/// class for as long as an overload lasts.
constexpr double class_step = 0.45;

/// Runs a second that requests ask of a service, by the weight of their routes.
using weighted_demand = std::map<double, double>;

/// \param capacity of the service, runs a second
/// \returns the level at which the requests that are let in take just that
double level_for(const weighted_demand &demand, double capacity);

/// Works out needs and weights from the policy and the learned calls.
void plan_levels(service_levels &it, const traffic_policy &policy, const mesh_switches &on = {});

/// \param states of the services that have an upstream
/// \returns whether each request of \a route needs a service that has none. Let
/// in, it would fail at its last call, after all work above was done; refused, it
/// can come back.
bool lacks_service(const service_levels &it, const std::string &route,
                   const std::map<std::string, service_state> &states);

/// Shares of a route's requests that are let in, by what bounds them.
struct admitted_shares
{
    double by_room = 1;    ///< what its services have room for
    double by_chance = 1;  ///< what may come through upstreams that turn calls away

    bool operator==(const admitted_shares &) const = default;
};

/// \param states by service; a service that is not named is open
admitted_shares shares_of(const service_levels &it, const std::string &route,
                          const std::map<std::string, service_state> &states,
                          const mesh_switches &on = {});

/// \returns the share that both bounds let in
double admitted_share(const admitted_shares &it);

}  // namespace gullstall::mesh

#endif
