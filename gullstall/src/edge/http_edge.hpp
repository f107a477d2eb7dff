#ifndef GULLSTALL_EDGE_HTTP_EDGE_HPP
#define GULLSTALL_EDGE_HTTP_EDGE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gullstall/core.hpp"

namespace gullstall::edge {

/// A whole request as it was read.
struct edge_request
{
    std::string method;
    std::string target;
    boost::beast::http::fields fields;
    std::vector<std::uint8_t> body;
    std::string remote_address;
};

/// A whole answer as it is written.
struct edge_answer
{
    std::uint16_t status = 0;
    std::string status_text;
    std::string header_lines;  ///< each with its line end; no length, no connection field
    std::vector<std::uint8_t> body;
    bool close = false;  ///< the connection ends with this answer
};

/// Bounds on what a client may send, and how long it may take.
struct edge_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 16U << 20U;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
    std::size_t connections = 2000;

    bool operator==(const edge_limits &) const = default;
};

/// Who takes the requests of an http_edge.
struct edge_handlers
{
    /// A request came; it is to be answered by http_edge::answer.
    std::function<void(call_ref, edge_request &&)> requested;
    /// The client of a request that is not answered yet has gone.
    std::function<void(call_ref)> abandoned;
};

class edge_connection;

/// HTTP/1.1 server. Clients may send further requests before the first is
/// answered; these are taken at once and answered in order.
class http_edge
{
public:
    /// Throws boost::system::system_error when \a at can't be listened on.
    http_edge(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at,
              edge_limits limits, edge_handlers handlers);

    /// Answers a request; nothing happens when its client has gone.
    void answer(call_ref id, edge_answer &&answer);

    void set_limits(const edge_limits &limits);

    /// Closes connections that are idle or whose client is too slow; to be
    /// called a few times a second.
    void sweep(time_point now);

    /// From now on each connection ends with its next answer, and connections
    /// without a request are closed.
    void close_gently();

    /// \returns whether a request has no answer yet, or an answer is not written
    bool has_work() const;

private:
    friend class edge_connection;

    boost::asio::awaitable<void> accept_loop();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    edge_limits limits_;
    edge_handlers handlers_;
    bool closing_ = false;
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<edge_connection>> connections_;
    std::unordered_map<call_ref, std::shared_ptr<edge_connection>> waiting_;
};

/// \returns \a fields as lines, without those that concern one connection only
std::string end_to_end_lines(const boost::beast::http::fields &fields);

}  // namespace gullstall::edge

#endif
