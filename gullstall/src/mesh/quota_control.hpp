#ifndef GULLSTALL_MESH_QUOTA_CONTROL_HPP
#define GULLSTALL_MESH_QUOTA_CONTROL_HPP

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// Quotas of customers. In each availability zone one node keeps the quota of a customer:
/// it hands out a token for each of its requests, at the rate of the zone's share. Entry
/// nodes ask it before they place a request. A keeper that runs short asks those of the
/// other zones. Tokens that were granted and not used are returned.

/// Obtains a token for a request, or lets it wait for one.
/// \returns whether the request may be placed now; otherwise it was refused, or is placed
/// when a token arrives
bool obtain_token(mesh_turn &t, call_ref id);

/// Returns the token of a request that has not run and will not run.
void return_token(mesh_turn &t, const entry_call &call);

void handle_quota_grant(mesh_turn &t, const std::string &from,
                        const mesh_wire::quota_grant_message &grant);

/// Asks again where an answer is overdue, refuses requests that have waited too long and
/// returns spare tokens. To be called on each tick.
void quota_tick(mesh_turn &t);

}  // namespace gullstall::mesh

#endif
