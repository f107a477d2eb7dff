#include "gullstall/src/edge/peer_links.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using boost::system::error_code;
using mesh::link_ref;

namespace {

/// A connection on which nothing came for this long is asked for a sign. It is
/// more than the time between two statuses.
constexpr duration quiet_time = milliseconds(800);

/// A connection on which nothing came for this long has fallen silent: three
/// statuses and a ping were missed.
constexpr duration silent_time = milliseconds(1600);

/// Time for a connection to come about. After a cut nodes find each other within this
/// time and the longest backoff: until then a zone that lacks a service refuses all
/// that needs it, though the cut is over.
constexpr std::chrono::milliseconds dial_timeout(400);
constexpr duration first_backoff = milliseconds(100);
constexpr duration longest_backoff = milliseconds(300);
constexpr std::chrono::milliseconds accept_pause(10);

}  // namespace

peer_links::peer_links(asio::io_context &io, const asio::ip::tcp::endpoint &at,
                       peer_link_handlers handlers, bool packs_between_zones)
    : io_(io),
      acceptor_(io, at),
      handlers_(std::move(handlers)),
      packs_between_zones_(packs_between_zones)
{
    asio::co_spawn(io_, accept_loop(), asio::detached);
}

asio::awaitable<void> peer_links::accept_loop()
{
    while (true) {
        error_code ec;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            asio::steady_timer pause(io_, accept_pause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        link_ref link{++last_link_};
        auto connection = std::make_shared<peer_connection>(
            std::move(socket),
            peer_connection::handlers{[this, link](mesh_wire::frame_message &&frame) {
                                          on_accepted_frame(link, std::move(frame));
                                      },
                                      [this, link](const std::string &) {
                                          accepted_.erase(link);
                                          handlers_.link_lost(link);
                                      }});
        accepted_[link] = connection;
        asio::co_spawn(
            io_, [connection] { return connection->run(); }, asio::detached);
    }
}

void peer_links::connect(const mesh::node_address &address)
{
    dialed_node &it = dialed_[address.node];
    bool has_moved = it.address.peers != address.peers;
    it.address = address;
    it.dial_at = time_point{};
    it.backoff = duration{};
    if (has_moved && it.connection) {
        std::shared_ptr<peer_connection> old = it.connection;
        old->close("the node has moved");
    }
    tick(now());
}

asio::awaitable<void> peer_links::dial(std::string node)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    asio::steady_timer limit(io_, dial_timeout);
    limit.async_wait([socket](const error_code &ec) {
        error_code ignored;
        if (!ec) {
            socket->close(ignored);
        }
    });
    error_code ec;
    co_await socket->async_connect(runtime::tcp_endpoint(dialed_[node].address.peers),
                                   asio::redirect_error(asio::use_awaitable, ec));
    limit.cancel();
    dialed_node &it = dialed_[node];
    it.connecting = false;
    it.backoff = std::min(longest_backoff, std::max(first_backoff, 2 * it.backoff));
    it.dial_at = now() + it.backoff;
    if (!ec) {
        start(it, std::move(*socket));
    }
}

void peer_links::start(dialed_node &it, asio::ip::tcp::socket &&socket)
{
    std::string node = it.address.node;
    auto connection = std::make_shared<peer_connection>(
        std::move(socket), peer_connection::handlers{nullptr, nullptr});
    std::weak_ptr<peer_connection> weak = connection;
    connection->set_handlers(peer_connection::handlers{
        [this, node, weak](mesh_wire::frame_message &&frame) {
            on_dialed_frame(node, weak, std::move(frame));
        },
        [this, node, weak](const std::string &why) {
            auto found = dialed_.find(node);
            if (found != dialed_.end() && found->second.connection == weak.lock()) {
                on_dialed_end(node, why);
            }
        }});
    it.connection = connection;
    it.linked = false;
    it.pinged_at = now();
    asio::co_spawn(
        io_, [connection] { return connection->run(); }, asio::detached);
    mesh_wire::hello_message hello = handlers_.own_hello();
    if (packs_between_zones_ && hello.zone != it.address.zone) {
        connection->pack_from_now();
    }
    connection->send(mesh::mesh_frame(std::move(hello)));
}

void peer_links::on_accepted_frame(link_ref link, mesh_wire::frame_message &&frame)
{
    const mesh_wire::hello_message *hello = frame.payload.Ashello();
    if (packs_between_zones_ && hello != nullptr && hello->zone != handlers_.own_hello().zone) {
        accepted_.at(link)->pack_from_now();
    }
    handlers_.from_link(link, std::move(frame));
}

void peer_links::on_dialed_frame(const std::string &node,
                                 const std::weak_ptr<peer_connection> &from,
                                 mesh_wire::frame_message &&frame)
{
    dialed_node &it = dialed_[node];
    if (it.connection != from.lock()) {
        return;
    }
    bool is_first = !it.linked;
    it.linked = true;
    it.backoff = duration{};
    handlers_.from_node(node, std::move(frame));
    if (is_first) {
        handlers_.linked(node);
    }
}

void peer_links::on_dialed_end(const std::string &node, const std::string &why)
{
    dialed_node &it = dialed_[node];
    std::vector<std::uint64_t> unsent = it.connection->unsent_calls();
    it.connection.reset();
    if (it.linked) {
        it.linked = false;
        it.dial_at = now();
        handlers_.lost(node, why, unsent);
    }
}

bool peer_links::send_to_node(const std::string &node, const mesh_wire::frame_message &frame)
{
    auto found = dialed_.find(node);
    return found != dialed_.end() && found->second.linked && found->second.connection->send(frame);
}

void peer_links::send_to_link(link_ref link, const mesh_wire::frame_message &frame)
{
    auto found = accepted_.find(link);
    if (found == accepted_.end()) {
        return;
    }
    std::shared_ptr<peer_connection> connection = found->second;
    if (!connection->send(frame)) {
        // A reply that is not taken would leave its request without an answer.
        connection->close("the other node reads too slowly");
    }
}

void peer_links::watch(const std::string &node, dialed_node &it, time_point now)
{
    std::shared_ptr<peer_connection> connection = it.connection;
    duration quiet = now - connection->heard_at();
    if (quiet > silent_time) {
        connection->close("silent");
        return;
    }
    if (quiet > quiet_time && now - it.pinged_at > quiet_time) {
        it.pinged_at = now;
        mesh_wire::ping_message ping;
        ping.sent_us = mesh::frame_time_us(now);
        send_to_node(node, mesh::mesh_frame(ping));
    }
}

void peer_links::tick(time_point now)
{
    for (auto &[node, it] : dialed_) {
        if (it.connection) {
            watch(node, it, now);
        } else if (!it.connecting && now >= it.dial_at) {
            it.connecting = true;
            asio::co_spawn(io_, dial(node), asio::detached);
        }
    }
}

}  // namespace gullstall::edge
