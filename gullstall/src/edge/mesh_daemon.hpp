#ifndef GULLSTALL_EDGE_MESH_DAEMON_HPP
#define GULLSTALL_EDGE_MESH_DAEMON_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/http_edge.hpp"
#include "gullstall/src/edge/line_log.hpp"
#include "gullstall/src/edge/loop_watch.hpp"
#include "gullstall/src/edge/peer_links.hpp"
#include "gullstall/src/edge/upstream_client.hpp"

namespace gullstall::edge {

/// Platform-specific formats and names.
struct platform_bindings
{
    header_names names;
    /// Parses the operator's policy in the format of the platform's store.
    std::function<result<traffic_policy>(std::string_view)> read_policy;
};

/// Runs a mesh node in one process. A single-threaded event loop executes the actions
/// that the node's decision logic returns: on an instance with a fraction of a core, a
/// thread per task would add a wake-up to each hop of a request without any gain.
class mesh_daemon
{
public:
    /// Throws boost::system::system_error when a listen address can't be bound.
    mesh_daemon(boost::asio::io_context &io, const mesh::mesh_settings &settings,
                platform_bindings dialect, std::uint64_t incarnation, std::uint64_t seed,
                const mesh::mesh_features &features = {});

    /// Handles a heartbeat of the local upstream.
    mesh::heartbeat_verdict heartbeat(const mesh::upstream_heartbeat &beat);
    void remove_upstream(const std::string &upstream);

    /// Updates from the platform's store: the policy, a node's address, a stored call
    /// chain.
    void update_policy(const std::string &text, mesh::policy_source source);
    void update_address(const mesh::node_address &address);
    void update_chain(const std::string &route, const mesh::calls_per_run &calls);

    /// \returns whether this node has to watch the platform's store for a newer policy
    bool watches_store() const;
    /// \returns when this node's feeds of the platform's store are to end
    mesh::feed_timing store_feed_timing() const;
    /// Records whether the platform's store can be reached.
    void set_store_lost(bool lost);
    /// Records that the platform's store has answered a call of the watch of the policy.
    void record_store_answer();

    /// Sets the function that saves call chains in the store. Without it they are not
    /// saved.
    void set_chain_saver(std::function<void(mesh::store_chain &&)> keep);

    /// Sets the function that saves the suspects of crashes in the store. After the
    /// first policy the upstream gets no calls until they have been read, see max_suspects_wait.
    void set_suspects_saver(std::function<void(mesh::store_suspects &&)> save);

    /// Sets the function that saves the announced end of the local upstream in the store. Its
    /// row is expected to be read at the start.
    void set_end_saver(std::function<void(mesh::store_end &&)> save);

    /// Applies the announced end read from the store, none if there is no row.
    void update_stored_end(const std::optional<mesh::announced_end> &stored);

    /// Records that the store has written the row of an announced end.
    void set_end_stored(const mesh::announced_end &end);

    /// Sets the function that is called when the announced end of an upstream is kept by the store
    /// or by other nodes, and so can be acknowledged.
    void set_end_kept_handler(std::function<void(const std::string &upstream)> handler);
    bool is_end_kept(const std::string &upstream) const;

    /// Applies the suspects read from the store.
    void update_suspects(const std::vector<kept_suspect> &row);

    /// Reports the end of a save.
    /// \param written whether the row is known to have been written
    void set_suspects_saved(bool written);

    void log(const mesh::write_line &line);

    /// Applies the settings that can change at run time, which are the limits. Changed
    /// names and addresses take effect only in a new process.
    void apply_limits(const mesh::mesh_settings &settings);

    /// Starts a graceful stop: the process exits when all work is done or the stop
    /// timeout has passed.
    void stop();

    bool is_ready() const;

    const mesh::mesh_node &node() const
    {
        return node_;
    }

private:
    void on_request(call_ref id, edge_request &&request);
    void send_response(call_ref id, mesh::caller_answer &&answer);
    void on_node_frame(const std::string &node, mesh_wire::frame_message &&frame);
    void on_link_frame(mesh::link_ref link, mesh_wire::frame_message &&frame);
    /// Runs one step of the node's decision logic and executes the resulting actions.
    /// \param doing what it handles, for the log
    void step(const char *doing, const std::function<void(mesh::mesh_turn &)> &what);
    void report_hold(const std::optional<loop_hold> &it);
    void report_loss(const connection_loss &it);
    std::string print_cut_requests() const;
    void execute(mesh::mesh_action &&what);
    void send_to_node(const mesh::send_to_node &order);
    /// \returns what logs and counts an exception that has ended a connection
    std::function<void(const std::string &)> exception_reporter(const char *at);
    void schedule_expiry();
    void schedule_tick();
    void tick();
    bool has_open_work() const;
    bool has_stopped(time_point now) const;

    boost::asio::io_context &io_;
    mesh::mesh_settings settings_;
    platform_bindings dialect_;
    mesh::mesh_node node_;
    std::function<void(mesh::store_chain &&)> save_chain_;
    std::function<void(mesh::store_suspects &&)> save_suspects_;
    std::function<void(mesh::store_end &&)> save_end_;
    std::function<void(const std::string &)> on_end_kept_ = [](const std::string &) {};
    loop_watch loop_;
    std::map<std::string, std::uint64_t> cut_requests_;  ///< by the reason of the close
    line_log log_;
    http_edge callers_;
    http_edge metrics_;
    upstream_client upstream_;
    peer_links peers_;
    boost::asio::steady_timer expiry_timer_;
    std::optional<time_point> expiry_at_;
    boost::asio::steady_timer tick_timer_;
    time_point last_sweep_at_{};
    std::optional<time_point> stop_requested_at_;
    bool draining_ = false;
};

}  // namespace gullstall::edge

#endif
