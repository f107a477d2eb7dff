#ifndef GULLSTALL_MESH_STATUS_RELAY_HPP
#define GULLSTALL_MESH_STATUS_RELAY_HPP

#include <string>
#include <vector>

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// Exchange of statuses between nodes. Within an availability zone each node sends its
/// status to every other node. Between zones, the relays of a zone send the statuses of
/// their zone to a relay of each other zone, which passes them on within its zone. The
/// frames that a node sends so grow with the nodes of its zone and not with all nodes.
///
/// Relays are not elected: each node computes them from the nodes that it hears. When two
/// nodes disagree, statuses arrive twice or through the second relay only; they are applied
/// by incarnation and sequence, so that a duplicate has no effect.

/// Relays of a zone. The second one covers the time until the loss of the first one is
/// detected.
inline constexpr std::size_t relays_per_zone = 2;

/// \returns the names of the nodes of \a zone that relay statuses, at most relays_per_zone
std::vector<std::string> choose_relays(const directory &it, const std::string &zone,
                                       time_point now);

/// Sends this node's status to the nodes that hear it directly: those of its zone and those
/// that don't accept relayed statuses.
void send_status_nearby(mesh_turn &t);

/// Passes on statuses received from other zones and, on a relay, sends the statuses of
/// this zone to the other zones. To be called on each tick.
void relay_statuses(mesh_turn &t);

/// Applies the statuses that the node \a from passes on.
void handle_status_batch(mesh_turn &t, const std::string &from,
                         const mesh_wire::status_batch_message &batch);

}  // namespace gullstall::mesh

#endif
