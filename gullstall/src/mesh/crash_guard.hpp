#ifndef GULLSTALL_MESH_CRASH_GUARD_HPP
#define GULLSTALL_MESH_CRASH_GUARD_HPP

#include "gullstall/src/mesh/mesh_node.hpp"

namespace gullstall::mesh {

/// Requests that crash each upstream that runs them. The node of an upstream that crashes
/// tells all others which requests were running. An upstream runs one of equal suspects at a
/// time. After two crashes it runs no other such suspect beside it, and only while most
/// upstreams of the service are there. If it crashes then, the request is quarantined. A run
/// that ends with a response clears its request everywhere.

/// \returns the content that the signature of a call is computed from
request_content content_of(const mesh_wire::call_message &call);

/// Treatment of a run that could start now.
enum class suspect_verdict
{
    start,
    hold,   ///< until other runs of suspects have ended
    refuse  ///< its request is quarantined
};

suspect_verdict judge_run(const mesh_node &n, const local_run &run, time_point now);

/// \returns how the request of a call is treated; computes its signature if there are suspects
suspicion judge_call(const mesh_node &n, entry_call &call, time_point now);

/// Records what the local upstream was running when it crashed and tells the other nodes.
/// \returns the request that is to blame, if that is known
std::optional<request_signature> report_running_requests(
    mesh_turn &t, const std::vector<request_signature> &running);

/// Records that a run of a request on the local upstream has ended with a response.
void record_completed_run(mesh_turn &t, request_signature signature);

void handle_crash_news(mesh_turn &t, const std::string &from,
                       const mesh_wire::crash_news_message &news);

/// Sends the suspects that are isolated or quarantined to a node that has just opened the
/// connection \a link: to nodes of this zone, and from relays to those of other zones.
void greet_with_suspects(mesh_turn &t, link_ref link);

/// Tells the other nodes of cleared suspects. To be called on each tick.
void crash_guard_tick(mesh_turn &t);

/// Logs why a call of a quarantined request is not sent.
void log_quarantined_call(mesh_turn &t, const entry_call &call);

}  // namespace gullstall::mesh

#endif
