#ifndef GULLSTALL_MESH_QUOTA_KEEPER_HPP
#define GULLSTALL_MESH_QUOTA_KEEPER_HPP

#include <cstdint>
#include <string>

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// The node as a keeper of quotas: it hands out tokens, asks keepers of other zones for some
/// when it runs short, and lends its own.

/// \returns the customer, nullptr if it is unknown or has no quota
const customer *find_limited_customer(const mesh_node &n, const std::string &name);

/// Adds tokens that the keeper of another zone has lent.
/// \param asked_at when they were asked for
void deposit_loan(mesh_turn &t, const customer &who, std::uint32_t tokens, time_point asked_at);

void handle_quota_ask(mesh_turn &t, link_ref link, const mesh_wire::quota_ask_message &ask);

/// Updates the members among which the quotas are divided.
void update_quota_members(mesh_turn &t);

}  // namespace gullstall::mesh

#endif
