#ifndef GULLSTALL_EDGE_MESH_DAEMON_HPP
#define GULLSTALL_EDGE_MESH_DAEMON_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/http_edge.hpp"
#include "gullstall/src/edge/line_log.hpp"
#include "gullstall/src/edge/peer_links.hpp"
#include "gullstall/src/edge/upstream_client.hpp"

namespace gullstall::edge {

/// What the platform that the node runs on has its own form for.
struct platform_dialect
{
    field_names names;
    /// Reads the operator's policy as the platform's store holds it.
    std::function<result<traffic_policy>(std::string_view)> read_policy;
};

/// The node as a process: one event loop that carries out what its decisions
/// ask for. On an instance with a part of one core a thread for each duty
/// costs a wake-up more for each hop of a request and gains nothing.
class mesh_daemon
{
public:
    /// Throws boost::system::system_error when an address can't be listened on.
    mesh_daemon(boost::asio::io_context &io, const mesh::mesh_settings &settings,
                platform_dialect dialect, std::uint64_t incarnation, std::uint64_t seed,
                const mesh::mesh_switches &on = {});

    /// The upstream beside the node speaks of itself.
    mesh::heartbeat_verdict heartbeat(const mesh::upstream_heartbeat &beat);
    void leave(const std::string &upstream);

    /// The platform's store tells a policy, or a node's address.
    void policy_text(const std::string &text, const char *source);
    void address(const mesh::node_address &address);
    void kept_chain(const std::string &route, const mesh::calls_per_run &calls);

    /// Sets what keeps chains in the store; without it they are not kept.
    void keep_chains(std::function<void(mesh::keep_chain &&)> keep);

    void log(const mesh::write_line &line);

    /// Applies what can change while the process runs: the limits. Names and
    /// addresses take a new process.
    void apply_limits(const mesh::mesh_settings &settings);

    /// The process is asked to stop: it ends when its work is done, or when the
    /// time for it is over.
    void stop();

    bool is_ready() const;

    const mesh::mesh_node &node() const
    {
        return node_;
    }

private:
    void request(call_ref id, edge_request &&request);
    void answer(call_ref id, mesh::caller_answer &&answer);
    void from_node(const std::string &node, mesh_wire::frame_message &&frame);
    void from_link(mesh::link_ref link, mesh_wire::frame_message &&frame);
    /// Lets the node take one step and carries out what it asks for.
    void step(const std::function<void(mesh::mesh_turn &)> &what);
    void carry_out(mesh::mesh_action &&what);
    void send_to_node(const mesh::send_to_node &order);
    void schedule_expiry();
    void schedule_tick();
    void tick();
    bool has_stopped(time_point now) const;

    boost::asio::io_context &io_;
    mesh::mesh_settings settings_;
    platform_dialect dialect_;
    mesh::mesh_node node_;
    std::function<void(mesh::keep_chain &&)> keep_chain_;
    line_log log_;
    http_edge callers_;
    http_edge metrics_;
    upstream_client upstream_;
    peer_links peers_;
    boost::asio::steady_timer expiry_timer_;
    std::optional<time_point> expiry_at_;
    boost::asio::steady_timer tick_timer_;
    time_point swept_at_{};
    std::optional<time_point> stop_asked_at_;
    bool closing_ = false;
};

}  // namespace gullstall::edge

#endif
