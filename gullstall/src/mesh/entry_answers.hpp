#ifndef GULLSTALL_MESH_ENTRY_ANSWERS_HPP
#define GULLSTALL_MESH_ENTRY_ANSWERS_HPP

#include <string>

#include "gullstall/src/mesh/mesh_node.hpp"

/// What callers are told, and what the log and the counters say of it.
namespace gullstall::mesh {

/// Answers a request that no call was made for.
void refuse_request(mesh_turn &t, call_ref id, const caller_request &request,
                    mesh_wire::reason why);

/// Ends a call with an answer of the node's own.
void fail_call(mesh_turn &t, call_ref id, mesh_wire::reason why);

/// Lets a call of a run wait for an upstream of its service to come back. Refused, it
/// would end the run with an error, and a run that must not start twice is lost then.
/// \returns whether it waits; place_waiting_calls places it again
bool wait_for_upstream(mesh_turn &t, entry_call &call);

/// Ends a call with its upstream's answer.
void pass_answer(mesh_turn &t, call_ref id, mesh_wire::reply_message &reply);

/// Takes a call out of all tables.
void forget_call(mesh_turn &t, call_ref id);

/// \param kind answered, refused, failed, abandoned or upstream-error
void count_answer(mesh_turn &t, const std::string &route, const char *kind, const std::string &why);

}  // namespace gullstall::mesh

#endif
