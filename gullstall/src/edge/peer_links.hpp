#ifndef GULLSTALL_EDGE_PEER_LINKS_HPP
#define GULLSTALL_EDGE_PEER_LINKS_HPP

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

/// Who is told of what happens on connections between nodes.
struct peer_link_handlers
{
    std::function<mesh_wire::hello_message()> own_hello;
    /// The connection to a node works: it has answered.
    std::function<void(const std::string &node)> linked;
    /// The connection to a node broke; no byte of the calls of \a unsent has left.
    std::function<void(const std::string &node, const std::string &why,
                       const std::vector<std::uint64_t> &unsent)>
        lost;
    std::function<void(const std::string &node, mesh_wire::frame_message &&)> from_node;
    std::function<void(mesh::link_ref, mesh_wire::frame_message &&)> from_link;
    std::function<void(mesh::link_ref)> link_lost;
};

/// Connections between nodes. Each node opens one to each other node and sends
/// its calls over it; replies and statuses come back over the same one.
class peer_links
{
public:
    /// Throws boost::system::system_error when \a at can't be listened on.
    peer_links(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at,
               peer_link_handlers handlers, bool packs_between_zones = true);

    /// Keeps a connection to the node open from now on.
    void connect(const mesh::node_address &address);

    /// Sends a frame to a node.
    /// \returns false when it certainly did not leave
    bool send_to_node(const std::string &node, const mesh_wire::frame_message &frame);

    /// Sends a frame over a connection that another node has opened.
    void send_to_link(mesh::link_ref link, const mesh_wire::frame_message &frame);

    /// Opens connections that are due, and ends those that have fallen silent;
    /// to be called several times a second.
    void tick(time_point now);

private:
    /// A node to which this one keeps a connection.
    struct dialed_node
    {
        mesh::node_address address;
        std::shared_ptr<peer_connection> connection;
        bool connecting = false;
        bool linked = false;
        time_point pinged_at{};
        time_point dial_at{};
        duration backoff{};
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> dial(std::string node);
    void start(dialed_node &it, boost::asio::ip::tcp::socket &&socket);
    void on_accepted_frame(mesh::link_ref link, mesh_wire::frame_message &&frame);
    void on_dialed_frame(const std::string &node, const std::weak_ptr<peer_connection> &from,
                         mesh_wire::frame_message &&frame);
    void on_dialed_end(const std::string &node, const std::string &why);
    void watch(const std::string &node, dialed_node &it, time_point now);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    peer_link_handlers handlers_;
    bool packs_between_zones_;
    std::map<std::string, dialed_node> dialed_;
    std::map<mesh::link_ref, std::shared_ptr<peer_connection>> accepted_;
    std::uint64_t last_link_ = 0;
};

}  // namespace gullstall::edge

#endif
