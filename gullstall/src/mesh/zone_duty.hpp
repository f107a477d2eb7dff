#ifndef GULLSTALL_MESH_ZONE_DUTY_HPP
#define GULLSTALL_MESH_ZONE_DUTY_HPP

#include <string>
#include <vector>

#include "gullstall/src/mesh/mesh_node.hpp"
#include "gullstall/src/mesh/store_feed.hpp"

namespace gullstall::mesh {

/// Duties that a few nodes of an availability zone do for all of it. Nobody is elected: each
/// node ranks the nodes that it hears by a hash of their names and takes the first ones.
/// Nodes that hear different ones disagree until they hear the same; a duty is then done
/// twice, or by the second node only.

/// Nodes on duty in a zone. The second one covers the time until the loss of the first one
/// is detected.
inline constexpr std::size_t nodes_on_duty = 2;

/// \returns whether the node is connected, answers and is not shutting down
bool is_responsive(const node_view &it, time_point now);

/// \returns the names of the nodes of \a zone that relay statuses between zones
std::vector<std::string> choose_relays(const directory &it, const std::string &zone,
                                       time_point now);

/// \returns whether this node is one of the relays of its zone
bool is_relay(const mesh_node &n, time_point now);

/// \returns whether this node watches the platform's store for a newer policy; the other
/// nodes hear of it from those that do
bool watches_store(const mesh_node &n, time_point now);

/// \returns when this node's feeds of the store end: those of a zone's watchers in turn, and the
/// zones one after the other
feed_timing own_feed_timing(const mesh_node &n, time_point now);

/// \returns whether this node writes to the store what its zone has learned
bool is_first_watcher(const mesh_node &n, time_point now);

}  // namespace gullstall::mesh

#endif
