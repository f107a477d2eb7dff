#ifndef GULLSTALL_MESH_ZONE_PLAN_HPP
#define GULLSTALL_MESH_ZONE_PLAN_HPP

#include <map>
#include <set>
#include <string>

#include "gullstall/policy.hpp"
#include "gullstall/src/mesh/call_chain.hpp"

namespace gullstall::mesh {

/// Availability zones that have an upstream of a service, by service.
using service_zones = std::map<std::string, std::set<std::string>>;

/// Expected number of cross-zone calls below a run, depending on the zone in which it
/// runs. Used where zones lack a service: a run in a zone without the next service makes
/// each of its calls across zones, where one cross-zone call further up the chain would
/// have been enough.
struct zone_plan
{
    /// Expected cross-zone calls of all calls below a run, by the run's route and zone.
    std::map<std::string, std::map<std::string, double>> cross_zone_calls;

    bool operator==(const zone_plan &) const = default;
};

/// \param calls learned calls per run, by route
/// \param present zones in which each service has an upstream
zone_plan make_zone_plan(const traffic_policy &policy, const known_chains &calls,
                         const service_zones &present);

/// \returns the expected cross-zone calls below a run of \a route in \a zone; 0 if they
/// are unknown
double cross_zone_calls_below(const zone_plan &it, const std::string &route,
                              const std::string &zone);

}  // namespace gullstall::mesh

#endif
