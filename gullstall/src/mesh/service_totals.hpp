#ifndef GULLSTALL_MESH_SERVICE_TOTALS_HPP
#define GULLSTALL_MESH_SERVICE_TOTALS_HPP

#include <map>
#include <string>

#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/service_levels.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"

namespace gullstall::mesh {

/// \returns the zones that have a usable upstream, by service
service_zones zones_by_service(const directory &it, time_point now);

/// \returns the state of each service over its usable upstreams: the admission level at
/// which the total demand uses the total capacity, and the mean shed share. The mean is
/// weighted by the slots that still accept calls, because load balancing moves calls away
/// from an upstream that sheds many.
std::map<std::string, service_state> compute_service_states(const directory &it, time_point now);

/// \returns the calls running and waiting on the usable upstreams of \a service, as a
/// share of their slots; 0 if there is no usable upstream
double service_load(const directory &it, const std::string &service, time_point now);

}  // namespace gullstall::mesh

#endif
