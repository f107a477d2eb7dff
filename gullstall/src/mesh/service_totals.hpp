#ifndef GULLSTALL_MESH_SERVICE_TOTALS_HPP
#define GULLSTALL_MESH_SERVICE_TOTALS_HPP

#include <map>
#include <string>

#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/service_levels.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"

namespace gullstall::mesh {

/// \returns the zones that have an upstream that takes work, by service
service_zones zones_of_services(const directory &it, time_point now);

/// \returns the state of each service over its upstreams that take work: the level
/// at which all demand together takes all capacity, and the share turned away,
/// weighed by the slots that still take calls, since calls leave an upstream that
/// turns many away
std::map<std::string, service_state> states_of_services(const directory &it, time_point now);

/// \returns the share of the slots of \a service that are in use or waited for,
/// over all upstreams that take work; 0 when there are none
double service_load(const directory &it, const std::string &service, time_point now);

}  // namespace gullstall::mesh

#endif
