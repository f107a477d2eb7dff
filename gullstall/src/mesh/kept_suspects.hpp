#ifndef GULLSTALL_MESH_KEPT_SUSPECTS_HPP
#define GULLSTALL_MESH_KEPT_SUSPECTS_HPP

#include <unordered_map>
#include <vector>

#include "gullstall/src/core/time.hpp"
#include "gullstall/suspects.hpp"

namespace gullstall::mesh {

struct mesh_node;
struct mesh_turn;

/// The suspects that the platform's store keeps, so that a request that crashes upstreams is
/// still known when all nodes have stopped at once. All of them are in one row. The first node
/// on duty in each zone writes it when what is worth keeping has changed.
struct kept_suspects
{
    bool expected = false;  ///< the process reads the row at its start
    bool has_read = false;
    bool is_writing = false;
    /// As last read or written by this process.
    std::unordered_map<request_signature, crash_suspect> stored;
    std::unordered_map<request_signature, crash_suspect> writing;
    time_point stored_at{};
    time_point next_write_at{};
    time_point wait_ends_at{};  ///< not set if a peer told the first policy
};

/// Maximum time after the first policy for which a node that has not read the suspects takes no
/// calls for its upstream. The row is read with the policy; only where one of the two calls fails
/// are they apart. A node that got the policy from a peer was told the suspects by it before.
constexpr duration max_suspects_wait = seconds(1);

/// \returns whether the local upstream gets no calls until the suspects have been read. Calls are
/// refused and not held: held ones would all start at the end of a wait in vain.
bool awaits_suspects(const mesh_node &n, time_point now);

/// Applies the content of the row, read at the start or after a conflicting write. What this
/// node has cleared since it last knew the row stays cleared.
void handle_stored_suspects(mesh_turn &t, const std::vector<kept_suspect> &row);

/// Handles the end of the write that a store_suspects action asked for.
/// \param written false if another node has changed the row, or the store did not say
void handle_suspects_saved(mesh_turn &t, bool written);

/// Writes the suspects if they have changed and this node has the duty.
void kept_suspects_tick(mesh_turn &t);

}  // namespace gullstall::mesh

#endif
