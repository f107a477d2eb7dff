#ifndef GULLSTALL_MESH_QUOTA_HANDOVER_HPP
#define GULLSTALL_MESH_QUOTA_HANDOVER_HPP

#include <string>

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// Handover of customers' accounts between the nodes that keep them. A node that is no longer the
/// keeper, since it shuts down or another node has started, passes the account on; the next keeper
/// need not take all of the window for used then. A node that ends without a shutdown passes on
/// nothing.

/// Passes an account on to the node that keeps the customer's quota now.
void pass_on_account(mesh_turn &t, const std::string &customer, const quota_account &account);

/// Keeps the history of an account that this node keeps, or will keep soon.
void handle_quota_history(mesh_turn &t, const std::string &customer,
                          const mesh_wire::quota_history_message &message);

/// Applies to an account, none of whose own tokens has been handed out, the history that its
/// previous keeper has passed on, if any.
void apply_history(mesh_turn &t, const std::string &customer, const quota_limits &limits,
                   quota_account &account);

/// Forgets histories that have not been applied in time. To be called on each tick.
void forget_old_histories(mesh_turn &t);

}  // namespace gullstall::mesh

#endif
