#ifndef GULLSTALL_EDGE_PEER_LINKS_HPP
#define GULLSTALL_EDGE_PEER_LINKS_HPP

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gullstall/mesh.hpp"
#include "gullstall/src/edge/peer_connection.hpp"

namespace gullstall::edge {

/// Callbacks for connections between nodes.
struct peer_link_handlers
{
    std::function<mesh_wire::hello_message(const std::string &to)> make_hello;
    /// The connection to a node is established: its first frame has arrived.
    std::function<void(const std::string &node)> on_connected;
    /// The connection to a node was lost. No byte of the calls \a unsent has been
    /// sent.
    std::function<void(const std::string &node, const std::string &why,
                       const std::vector<std::uint64_t> &unsent)>
        on_disconnected;
    std::function<void(const std::string &node, mesh_wire::frame_message &&)> on_node_frame;
    std::function<void(mesh::link_ref, mesh_wire::frame_message &&)> on_link_frame;
    std::function<void(mesh::link_ref)> on_link_closed;
    /// A connection has ended since its coroutine, or a handler, threw.
    std::function<void(const std::string &what)> on_exception = [](const std::string &) {};
};

/// Frames sent to other nodes, and their bytes before compression.
struct frame_count
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

/// Frame counts by kind: the index is a mesh_wire::payload.
using frame_counts = std::array<frame_count, static_cast<std::size_t>(mesh_wire::payload::MAX) + 1>;

/// Connections between nodes. Each node opens one connection to every other node and
/// sends its calls over it; replies and statuses return over the same connection.
///
/// A connection within the zone is never idle for long, as statuses arrive over it.
/// One between zones may be; it counts as lost only when a ping stays unanswered.
class peer_links
{
public:
    /// Throws boost::system::system_error when \a at can't be bound.
    peer_links(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at,
               peer_link_handlers handlers, bool compress_between_zones = true);

    /// Opens a connection to the node and reconnects whenever it is lost.
    void connect(const mesh::node_address &address);

    /// Sends a frame to a node.
    /// \returns false when the frame was definitely not sent
    bool send_to_node(const std::string &node, const mesh_wire::frame_message &frame);
    /// \returns whether frames to nodes that have connected, such as replies, wait to be written
    bool has_unsent() const;

    /// Sends a frame over a connection that another node opened.
    void send_to_link(mesh::link_ref link, const mesh_wire::frame_message &frame);

    /// Sends the same frame over several connections that other nodes opened.
    void send_to_links(const std::vector<mesh::link_ref> &links,
                       const mesh_wire::frame_message &frame);

    /// \returns the counters in the text exposition format
    std::string print_metrics() const;

    /// Opens connections whose backoff has expired, and closes those that have timed
    /// out. Call several times per second.
    void tick(time_point now);

private:
    /// A node to which this one maintains a connection.
    struct dialed_node
    {
        mesh::node_address address;
        std::shared_ptr<peer_connection> connection;
        bool connecting = false;
        bool established = false;
        bool in_own_zone = false;
        time_point last_ping_at{};  ///< or when the connection was opened
        time_point next_dial_at{};
        duration backoff{};
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> dial(std::string node);
    void start(dialed_node &it, boost::asio::ip::tcp::socket &&socket);
    void run(const std::shared_ptr<peer_connection> &connection);
    void on_accepted_frame(mesh::link_ref link, mesh_wire::frame_message &&frame);
    void on_dialed_frame(const std::string &node, const std::weak_ptr<peer_connection> &from,
                         mesh_wire::frame_message &&frame);
    void on_dialed_closed(const std::string &node, const std::string &why);
    /// Sends an encoded frame over a connection and counts it.
    bool send(peer_connection &connection, const mesh_wire::frame_message &frame,
              std::string bytes);
    /// Prepares a connection to another zone.
    void mark_between_zones(peer_connection &connection);
    static bool is_ping_unanswered(const dialed_node &it);
    void check_liveness(const std::string &node, dialed_node &it, time_point now);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    peer_link_handlers handlers_;
    bool compress_between_zones_;
    std::map<std::string, dialed_node> dialed_;
    std::map<mesh::link_ref, std::shared_ptr<peer_connection>> accepted_;
    std::uint64_t last_link_ = 0;
    frame_counts sent_in_zone_{};
    frame_counts sent_between_zones_{};
};

}  // namespace gullstall::edge

#endif
