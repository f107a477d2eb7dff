#ifndef GULLSTALL_MESH_PLACING_HPP
#define GULLSTALL_MESH_PLACING_HPP

#include <string>
#include <vector>

#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/switches.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"

namespace gullstall::mesh {

/// Requirements of a call on the node that it is sent to.
struct placement_request
{
    std::string service;
    std::string zone;                         ///< of the sending node
    std::vector<std::string> excluded_nodes;  ///< nodes that are excluded
    std::string route;                        ///< route of the call
};

/// Selects the node to send a call to, among those whose upstream has room within its limit.
/// \returns the name of the node, empty if no usable one is known
std::string choose_node(const directory &it, const zone_plan &plan, const placement_request &wanted,
                        random_source &random, time_point now, const mesh_features &on = {});

/// Selects the node at which a call waits until the limit of the upstream allows it; the higher
/// the limit, the more likely.
/// \returns the name of the node, empty if no usable one is known
std::string choose_node_to_wait_at(const directory &it, const placement_request &wanted,
                                   random_source &random, time_point now);

/// \returns the time until the limit of some usable upstream of \a service allows one more call
duration shortest_limit_wait(const directory &it, const std::string &service, time_point now);

}  // namespace gullstall::mesh

#endif
