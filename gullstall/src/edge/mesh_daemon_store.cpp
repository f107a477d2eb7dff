/// What a mesh_daemon learns from the platform's store, and what it saves there.

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/mesh_daemon.hpp"

namespace gullstall::edge {

using mesh::mesh_turn;
using mesh::write_line;

void mesh_daemon::update_policy(const std::string &text, mesh::policy_source source)
{
    result<traffic_policy> read = dialect_.read_policy(text);
    if (!succeeded(read)) {
        log(write_line{write_line::severity::warning,
                       "policy",
                       "policy-unreadable",
                       {{"source", name_of(source)}, {"error", error_of(read).message}}});
        return;
    }
    bool taken = false;
    step("policy",
         [&](mesh_turn &t) { taken = apply_policy(t, value_of(std::move(read)), text, source); });
    if (taken) {
        const caller_limits &limits = node_.policy->limits;
        callers_.set_limits(edge_limits{limits.max_header_bytes, limits.max_body_bytes,
                                        limits.header_timeout, limits.idle_timeout});
    }
}

void mesh_daemon::update_address(const mesh::node_address &address)
{
    step("address", [&](mesh_turn &t) { handle_address(t, address); });
}

void mesh_daemon::update_chain(const std::string &route, const mesh::calls_per_run &calls)
{
    step("stored calls", [&](mesh_turn &t) { restore_chain(t, route, calls); });
}

bool mesh_daemon::watches_store() const
{
    return mesh::watches_store(node_, now());
}

mesh::feed_timing mesh_daemon::store_feed_timing() const
{
    return mesh::own_feed_timing(node_, now());
}

void mesh_daemon::set_store_lost(bool lost)
{
    step("state of the store", [&](mesh_turn &t) { mesh::set_store_lost(t, lost); });
}

void mesh_daemon::record_store_answer()
{
    node_.store_answered_at = now();
}

void mesh_daemon::set_chain_saver(std::function<void(mesh::store_chain &&)> keep)
{
    save_chain_ = std::move(keep);
}

void mesh_daemon::set_suspects_saver(std::function<void(mesh::store_suspects &&)> save)
{
    save_suspects_ = std::move(save);
    node_.stored_suspects.expected = true;
}

void mesh_daemon::set_end_saver(std::function<void(mesh::store_end &&)> save)
{
    save_end_ = std::move(save);
    node_.expects_stored_end = true;
}

void mesh_daemon::update_stored_end(const std::optional<mesh::announced_end> &stored)
{
    step("stored end", [&](mesh_turn &t) { handle_stored_end(t, stored); });
}

void mesh_daemon::set_end_stored(const mesh::announced_end &end)
{
    step("end stored", [&](mesh_turn &t) { handle_end_stored(t, end); });
}

void mesh_daemon::set_end_kept_handler(std::function<void(const std::string &)> handler)
{
    on_end_kept_ = std::move(handler);
}

bool mesh_daemon::is_end_kept(const std::string &upstream) const
{
    return mesh::is_end_kept(node_, upstream);
}

void mesh_daemon::update_suspects(const std::vector<kept_suspect> &row)
{
    step("stored suspects", [&](mesh_turn &t) { handle_stored_suspects(t, row); });
}

void mesh_daemon::set_suspects_saved(bool written)
{
    step("suspects saved", [&](mesh_turn &t) { handle_suspects_saved(t, written); });
}

}  // namespace gullstall::edge
