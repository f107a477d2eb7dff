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

/// Where a call is sent.
struct placement
{
    std::string node;              ///< empty if no usable one is known
    bool waits_for_limit = false;  ///< the call may wait there until the upstream's limit allows it

    bool operator==(const placement &) const = default;
};

/// Selects the node to send a call to. Only if no upstream is known that has room within its
/// limit, one is selected at which the call waits; the higher its limit, the more likely.
placement choose_placement(const directory &it, const zone_plan &plan,
                           const placement_request &wanted, random_source &random, time_point now,
                           const mesh_features &on = {});

/// \returns the time until the limit of some usable upstream of \a service allows one more call
duration shortest_limit_wait(const directory &it, const std::string &service, time_point now);

}  // namespace gullstall::mesh

#endif
