#ifndef GULLSTALL_RUNTIME_PEER_TRANSPORT_HPP
#define GULLSTALL_RUNTIME_PEER_TRANSPORT_HPP

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gullstall/src/settings/node_settings.hpp"
#include "gullstall/src/wire/codec.hpp"

namespace gullstall::runtime {

/// What the transport hands to its owner, on the transport's thread.
struct peer_handlers
{
    /// \returns false when the receiver is full: the connection is then closed,
    /// and its other side learns that its calls got no answer
    std::function<bool(wire::frame_message &&frame)> on_frame;
    /// The connection to \a instance broke; the calls numbered in \a unsent
    /// did not leave this process.
    std::function<void(const std::string &instance, std::vector<std::uint64_t> unsent)>
        on_unreachable;
    /// A connection was closed for a reason that the log should name.
    std::function<void(const std::string &reason)> on_bad_connection;
};

/// Framed TCP between nodes: one connection per pair, used in both directions.
class peer_transport
{
public:
    peer_transport(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at,
                   peer_handlers handlers);

    /// Sends a frame to \a instance, connecting to \a to when needed.
    void send(const std::string &instance, const endpoint &to, wire::frame_message &&frame);

    /// \returns the bytes that are not written yet; may be called on any thread
    std::size_t bytes_waiting() const
    {
        return waiting_;
    }

private:
    struct outgoing
    {
        std::string bytes;
        std::uint64_t correlation;  ///< of a call, 0 for other frames
    };
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket s) : socket(std::move(s)) {}
        boost::asio::ip::tcp::socket socket;
        std::string instance;  ///< empty until known
        std::deque<outgoing> queue;
        std::size_t queued_bytes = 0;
        bool writing = false;
        bool connected = false;
        bool closed = false;
    };
    using connection_ptr = std::shared_ptr<connection>;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> connect(connection_ptr it, endpoint to);
    boost::asio::awaitable<void> read_loop(connection_ptr it);
    boost::asio::awaitable<void> write_loop(connection_ptr it);
    void start_writing(const connection_ptr &it);
    void close(const connection_ptr &it, const std::string &reason);
    bool take_frame(const connection_ptr &it, const std::string &bytes);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    peer_handlers handlers_;
    std::map<std::string, connection_ptr> connections_;  // by instance
    std::atomic<std::size_t> waiting_ = 0;
};

}  // namespace gullstall::runtime

#endif
