#ifndef GULLSTALL_MESH_KEPT_END_HPP
#define GULLSTALL_MESH_KEPT_END_HPP

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gullstall/generated/mesh_generated.h"
#include "gullstall/src/mesh/mesh_actions.hpp"
#include "gullstall/src/mesh/own_upstream.hpp"

namespace gullstall::mesh {

struct mesh_node;
struct mesh_turn;

/// The announced end of the local upstream, and who keeps it for the node's next process. It is
/// acknowledged to the upstream only once it is kept: heartbeats from before may still be under
/// way, and a process that knows of no end would dispatch requests again.
struct kept_end
{
    std::optional<announced_end> end;
    bool is_stored = false;       ///< in the platform's store
    std::set<std::string> peers;  ///< nodes that have confirmed that they remember it
    bool is_reported = false;     ///< as kept
    time_point announced_at{};
    time_point told_at{};  ///< when peers were last asked
};

/// \returns the end as frames carry it
std::unique_ptr<mesh_wire::announced_end_message> print_end(const announced_end &it);

/// Has the store and other nodes keep an announced end.
void keep_end(mesh_turn &t, const announced_end &end);

/// \returns whether the store or enough other nodes keep the announced end of \a upstream
bool is_end_kept(const mesh_node &n, const std::string &upstream);

/// Handles that the store has written the row of an announced end.
void handle_end_stored(mesh_turn &t, const announced_end &end);

/// Remembers the end that the upstream of another node has announced, and confirms it.
void handle_end_notice(mesh_turn &t, link_ref link, const mesh_wire::end_notice_message &notice);

/// Handles the confirmation of the node \a from.
void handle_end_remembered(mesh_turn &t, const std::string &from,
                           const mesh_wire::end_remembered_message &what);

/// Applies an end that an earlier process of this node has heard.
/// \param event of the log line
/// \param source fields of the line that tell who remembered it
void apply_earlier_end(mesh_turn &t, const announced_end &end, const char *event,
                       const std::vector<log_field> &source);

/// Applies the end that the node \a from has remembered for this process.
void handle_remembered_end(mesh_turn &t, const std::string &from,
                           const mesh_wire::announced_end_message &what);

/// Asks other nodes again while an end is not kept.
void kept_end_tick(mesh_turn &t);

}  // namespace gullstall::mesh

#endif
