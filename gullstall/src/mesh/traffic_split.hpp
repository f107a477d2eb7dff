#ifndef GULLSTALL_MESH_TRAFFIC_SPLIT_HPP
#define GULLSTALL_MESH_TRAFFIC_SPLIT_HPP

#include <map>
#include <string>

#include "gullstall/policy.hpp"

namespace gullstall::mesh {

/// Credit of each service of each route: requests that it is owed.
struct traffic_split
{
    std::map<std::string, std::map<std::string, double>> credit;  ///< by route, service
};

/// Chooses the service of one request of \a route, so that over any stretch of
/// requests each service gets its weight's share within one request (smooth
/// weighted round robin). Drawing at random strays by several percent over the
/// few hundred requests by which the shares are judged.
const std::string &choose_service(traffic_split &it, const traffic_route &route);

}  // namespace gullstall::mesh

#endif
