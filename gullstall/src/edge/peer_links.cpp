#include "gullstall/src/edge/peer_links.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/edge/spawn.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"
#include "gullstall/src/wire/frame_codec.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using boost::system::error_code;
using mesh::link_ref;

namespace {

/// A connection within the zone on which nothing was received for this long is pinged. It
/// is longer than the status interval.
constexpr duration ping_idle_time = milliseconds(800);

/// The same between zones, where most connections are idle. The keep-alive of TCP finds a
/// dead path sooner; a ping also finds a process that has stopped reading.
constexpr duration ping_idle_time_between_zones = seconds(60);

/// A connection on which nothing was received for this long, and for ping_timeout after a
/// ping, is closed: within the zone three statuses were missed as well.
constexpr duration silence_timeout = milliseconds(1600);
constexpr duration ping_timeout = milliseconds(800);

/// Timeout of a connection attempt. After a network partition heals, nodes reconnect
/// within this timeout plus the longest backoff; until then a zone without some
/// service refuses all requests that depend on it.
constexpr std::chrono::milliseconds connect_timeout(400);
constexpr duration initial_backoff = milliseconds(100);
constexpr duration max_backoff = milliseconds(300);
constexpr std::chrono::milliseconds accept_retry_delay(10);

/// Closes a connection whose send queue is full. Dropping a reply instead would leave its
/// request unanswered.
void close_unless_sent(peer_connection &connection, bool sent)
{
    if (!sent) {
        connection.close("send queue full, peer reads too slowly");
    }
}

}  // namespace

peer_links::peer_links(asio::io_context &io, const asio::ip::tcp::endpoint &at,
                       peer_link_handlers handlers, bool compress_between_zones)
    : io_(io),
      acceptor_(io, at),
      handlers_(std::move(handlers)),
      compress_between_zones_(compress_between_zones)
{
    spawn_essential(io_, accept_loop());
}

asio::awaitable<void> peer_links::accept_loop()
{
    while (true) {
        error_code ec;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            asio::steady_timer pause(io_, accept_retry_delay);
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
                                          handlers_.on_link_closed(link);
                                      }});
        accepted_[link] = connection;
        run(connection);
    }
}

void peer_links::connect(const mesh::node_address &address)
{
    dialed_node &it = dialed_[address.node];
    bool address_changed = it.address.peers != address.peers;
    it.address = address;
    it.in_own_zone = address.zone == handlers_.make_hello(address.node).zone;
    it.next_dial_at = time_point{};
    it.backoff = duration{};
    if (address_changed && it.connection) {
        std::shared_ptr<peer_connection> old = it.connection;
        old->close("node address changed");
    }
    tick(now());
}

asio::awaitable<void> peer_links::dial(std::string node)
{
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    asio::steady_timer limit(io_, connect_timeout);
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
    it.backoff = std::min(max_backoff, std::max(initial_backoff, 2 * it.backoff));
    it.next_dial_at = now() + it.backoff;
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
                on_dialed_closed(node, why);
            }
        }});
    it.connection = connection;
    it.established = false;
    it.last_ping_at = now();
    run(connection);
    mesh_wire::hello_message hello = handlers_.make_hello(node);
    if (hello.zone != it.address.zone) {
        mark_between_zones(*connection);
    }
    mesh_wire::frame_message frame = mesh::mesh_frame(std::move(hello));
    send(*connection, frame, encode_frame_of<mesh_wire::frame>(frame));
}

void peer_links::run(const std::shared_ptr<peer_connection> &connection)
{
    spawn(
        io_, [connection] { return connection->run(); },
        [this, connection](const std::string &what) {
            connection->close("exception");
            handlers_.on_exception(what);
        });
}

void peer_links::on_accepted_frame(link_ref link, mesh_wire::frame_message &&frame)
{
    const mesh_wire::hello_message *hello = frame.payload.Ashello();
    if (hello != nullptr && hello->zone != handlers_.make_hello(hello->node).zone) {
        mark_between_zones(*accepted_.at(link));
    }
    handlers_.on_link_frame(link, std::move(frame));
}

void peer_links::on_dialed_frame(const std::string &node,
                                 const std::weak_ptr<peer_connection> &from,
                                 mesh_wire::frame_message &&frame)
{
    dialed_node &it = dialed_[node];
    if (it.connection != from.lock()) {
        return;
    }
    bool is_first = !it.established;
    it.established = true;
    it.backoff = duration{};
    handlers_.on_node_frame(node, std::move(frame));
    if (is_first) {
        handlers_.on_connected(node);
    }
}

void peer_links::on_dialed_closed(const std::string &node, const std::string &why)
{
    dialed_node &it = dialed_[node];
    std::vector<std::uint64_t> unsent = it.connection->unsent_calls();
    it.connection.reset();
    if (it.established) {
        it.established = false;
        it.next_dial_at = now();
        handlers_.on_disconnected(node, why, unsent);
    }
}

bool peer_links::send_to_node(const std::string &node, const mesh_wire::frame_message &frame)
{
    auto found = dialed_.find(node);
    if (found == dialed_.end() || !found->second.established) {
        return false;
    }
    dialed_node &it = found->second;
    if (frame.payload.Asping() != nullptr && !is_ping_unanswered(it)) {
        it.last_ping_at = now();
    }
    return send(*it.connection, frame, encode_frame_of<mesh_wire::frame>(frame));
}

bool peer_links::has_unsent() const
{
    return std::any_of(accepted_.begin(), accepted_.end(),
                       [](const auto &entry) { return entry.second->has_unsent(); });
}

void peer_links::send_to_link(link_ref link, const mesh_wire::frame_message &frame)
{
    auto found = accepted_.find(link);
    if (found == accepted_.end()) {
        return;
    }
    std::shared_ptr<peer_connection> connection = found->second;
    close_unless_sent(*connection,
                      send(*connection, frame, encode_frame_of<mesh_wire::frame>(frame)));
}

void peer_links::send_to_links(const std::vector<link_ref> &links,
                               const mesh_wire::frame_message &frame)
{
    std::string bytes = encode_frame_of<mesh_wire::frame>(frame);
    for (link_ref link : links) {
        auto found = accepted_.find(link);
        if (found != accepted_.end()) {
            std::shared_ptr<peer_connection> connection = found->second;
            close_unless_sent(*connection, send(*connection, frame, bytes));
        }
    }
}

bool peer_links::send(peer_connection &connection, const mesh_wire::frame_message &frame,
                      std::string bytes)
{
    frame_counts &counts = connection.is_between_zones() ? sent_between_zones_ : sent_in_zone_;
    frame_count &count = counts.at(static_cast<std::size_t>(frame.payload.type));
    ++count.frames;
    count.bytes += bytes.size();
    const mesh_wire::call_message *call = frame.payload.Ascall();
    return connection.send(std::move(bytes), call == nullptr ? 0 : call->correlation);
}

void peer_links::mark_between_zones(peer_connection &connection)
{
    connection.set_between_zones();
    if (compress_between_zones_) {
        connection.enable_compression();
    }
}

std::string peer_links::print_metrics() const
{
    std::string frames = "# TYPE gullstall_peer_frames_sent_total counter\n";
    std::string bytes = "# TYPE gullstall_peer_frame_bytes_sent_total counter\n";
    for (const auto &[zone, counts] :
         {std::pair("own", &sent_in_zone_), std::pair("other", &sent_between_zones_)}) {
        for (std::size_t i = 1; i < counts->size(); ++i) {
            std::string labels = std::string("{zone=\"") + zone + "\",kind=\"" +
                                 mesh_wire::EnumNamepayload(static_cast<mesh_wire::payload>(i)) +
                                 "\"} ";
            frames += "gullstall_peer_frames_sent_total" + labels +
                      std::to_string(counts->at(i).frames) + "\n";
            bytes += "gullstall_peer_frame_bytes_sent_total" + labels +
                     std::to_string(counts->at(i).bytes) + "\n";
        }
    }
    return frames + bytes;
}

bool peer_links::is_ping_unanswered(const dialed_node &it)
{
    return it.last_ping_at >= it.connection->last_received_at();
}

void peer_links::check_liveness(const std::string &node, dialed_node &it, time_point now)
{
    std::shared_ptr<peer_connection> connection = it.connection;
    duration silence = now - connection->last_received_at();
    bool is_ping_lost = is_ping_unanswered(it) && now - it.last_ping_at > ping_timeout;
    if (silence > silence_timeout && is_ping_lost) {
        connection->close("silent");
        return;
    }
    duration idle_time = it.in_own_zone ? ping_idle_time : ping_idle_time_between_zones;
    if (silence > idle_time && !is_ping_unanswered(it)) {
        mesh_wire::ping_message ping;
        ping.sent_us = mesh::frame_time_us(now);
        send_to_node(node, mesh::mesh_frame(ping));
    }
}

void peer_links::tick(time_point now)
{
    for (auto &[node, it] : dialed_) {
        if (it.connection) {
            check_liveness(node, it, now);
        } else if (!it.connecting && now >= it.next_dial_at) {
            it.connecting = true;
            spawn(
                io_, [this, name = node] { return dial(name); },
                [this, name = node](const std::string &what) {
                    dialed_[name].connecting = false;
                    handlers_.on_exception(what);
                });
        }
    }
}

}  // namespace gullstall::edge
