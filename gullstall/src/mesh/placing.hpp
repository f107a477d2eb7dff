#ifndef GULLSTALL_MESH_PLACING_HPP
#define GULLSTALL_MESH_PLACING_HPP

#include <string>
#include <vector>

#include "gullstall/src/mesh/directory.hpp"
#include "gullstall/src/mesh/switches.hpp"
#include "gullstall/src/mesh/zone_plan.hpp"

namespace gullstall::mesh {

/// What a call needs of an upstream.
struct placement_request
{
    std::string service;
    std::string zone;                ///< of the asking node
    std::vector<std::string> tried;  ///< nodes that are not to be asked again
    std::string route;               ///< by which the call goes
};

/// Chooses the node to send a call to.
/// \returns the node's name, empty when no upstream is known to take it
std::string choose_node(const directory &it, const zone_plan &plan, const placement_request &wanted,
                        random_source &random, time_point now, const mesh_switches &on = {});

}  // namespace gullstall::mesh

#endif
