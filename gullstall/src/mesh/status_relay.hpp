#ifndef GULLSTALL_MESH_STATUS_RELAY_HPP
#define GULLSTALL_MESH_STATUS_RELAY_HPP

#include <string>

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// Exchange of statuses between nodes. Within an availability zone each node sends its
/// status to every other node. Between zones, the relays of a zone send the statuses of
/// their zone to a relay of each other zone, which passes them on within its zone. The
/// frames that a node sends so grow with the nodes of its zone and not with all nodes.
/// Statuses are applied by incarnation and sequence, so that a duplicate has no effect.

/// Sends this node's status to the nodes that hear it directly: those of its zone and those
/// that don't accept relayed statuses.
void send_status_nearby(mesh_turn &t);

/// Sends this node's status to these nodes and to those of other zones that have sent it
/// calls lately. For changes after which such a call would be refused.
void send_status_to_callers(mesh_turn &t);

/// Sends this node's status to those, and to the nodes of the own service in all zones, whose stops
/// are ordered by it.
void send_status_to_service(mesh_turn &t);

/// Passes on statuses received from other zones and, on a relay, sends the statuses of
/// this zone to the other zones. To be called on each tick.
void relay_statuses(mesh_turn &t);

/// Applies the statuses that the node \a from passes on.
void handle_status_batch(mesh_turn &t, const std::string &from,
                         const mesh_wire::status_batch_message &batch);

}  // namespace gullstall::mesh

#endif
