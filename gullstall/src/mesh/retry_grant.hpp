#ifndef GULLSTALL_MESH_RETRY_GRANT_HPP
#define GULLSTALL_MESH_RETRY_GRANT_HPP

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// Retries of calls without nested calls are granted by the node of the upstream that would
/// run them. The limit on the retries to a service is shared by its upstreams, which see
/// all of its calls, and not by all entry nodes, most of which need none while a few lose
/// their answers. A refused retry does not arrive at an upstream and costs nothing.
///
/// Retries of other calls are charged at the entry to all services that they reach.

/// Share of the allowed retries that entry nodes charge; the rest is granted at the gates.
inline constexpr double entry_retry_share = 0.25;

/// \returns the share that an entry node of \a n may use
double entry_share(const mesh_node &n);

/// \returns whether a retry of the call is granted at a gate
bool is_granted_at_gate(const mesh_node &n, const entry_call &call);

/// Counts a call that is dispatched to the local upstream, if it is a caller's request.
void count_for_retries(mesh_turn &t, const mesh_wire::call_message &call);

/// \returns whether the retry may be dispatched to the local upstream
bool grant_retry(mesh_turn &t, const mesh_wire::call_message &call);

/// Takes back the last grant, whose call was not dispatched.
void return_grant(mesh_turn &t, const mesh_wire::call_message &call);

}  // namespace gullstall::mesh

#endif
