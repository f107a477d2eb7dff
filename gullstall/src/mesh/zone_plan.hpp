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

/// How often the calls of a run must leave the zone that it runs in. It answers
/// zones that lack a service: a run beside which the next service is missing
/// makes each of its calls over the link between zones, where one crossing
/// further up would have done.
struct zone_plan
{
    /// Expected crossings of all calls below a run, by the run's route and zone.
    std::map<std::string, std::map<std::string, double>> crossings;

    bool operator==(const zone_plan &) const = default;
};

/// \param calls of a run, by route, as learned
zone_plan plan_zones(const traffic_policy &policy,
                     const std::map<std::string, calls_per_run> &calls,
                     const service_zones &present);

/// \returns the crossings below a run of \a route in \a zone; 0 when nothing is
/// known of them
double crossings_below(const zone_plan &it, const std::string &route, const std::string &zone);

}  // namespace gullstall::mesh

#endif
