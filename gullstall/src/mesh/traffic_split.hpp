#ifndef GULLSTALL_MESH_TRAFFIC_SPLIT_HPP
#define GULLSTALL_MESH_TRAFFIC_SPLIT_HPP

#include <map>
#include <string>

#include "gullstall/policy.hpp"

namespace gullstall::mesh {

/// State of the weighted round robin: each service's credit, the number of requests that
/// it still has to get to reach its weight.
struct traffic_split
{
    std::map<std::string, std::map<std::string, double>> credit;  ///< by route, service
};

/// Chooses the service of one request of \a route by smooth weighted round robin: over
/// any sequence of requests, each service gets the share given by its weight, to within
/// one request. A random choice deviates by several percent over the few hundred requests
/// on which the shares are measured.
const std::string &choose_service(traffic_split &it, const traffic_route &route);

}  // namespace gullstall::mesh

#endif
