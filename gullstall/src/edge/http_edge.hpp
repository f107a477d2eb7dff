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

/// A complete HTTP request.
struct edge_request
{
    std::string method;
    std::string target;
    boost::beast::http::fields fields;
    std::vector<std::uint8_t> body;
    std::string remote_address;
};

/// A complete HTTP response.
struct edge_answer
{
    std::uint16_t status = 0;
    std::string status_text;
    std::string header_lines;  ///< CRLF-terminated, without Content-Length and Connection
    std::vector<std::uint8_t> body;
    bool close = false;  ///< close the connection after this response
};

/// Limits on the size and duration of client requests.
struct edge_limits
{
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 16U << 20U;
    duration header_timeout = seconds(3);
    duration idle_timeout = seconds(15);
    std::size_t connections = 2000;

    bool operator==(const edge_limits &) const = default;
};

/// What the end of a client's connection has left without an answer.
struct connection_loss
{
    const char *why;               ///< of the end: "answer", "drained", "idle" or "stalled"
    std::size_t unanswered = 0;    ///< requests that had been dispatched
    std::size_t unread_bytes = 0;  ///< input that had arrived and was not read
};

/// Callbacks of an http_edge.
struct edge_handlers
{
    /// Called for each request, which is to be answered through http_edge::respond().
    std::function<void(call_ref, edge_request &&)> on_request;
    /// Called when the client of an unanswered request has disconnected.
    std::function<void(call_ref)> on_abandoned;
    /// Called when a connection has ended since its coroutine, or a handler, threw.
    std::function<void(const std::string &what)> on_exception = [](const std::string &) {};
    /// Called when this side ends a connection that has unanswered requests or unread input.
    std::function<void(const connection_loss &)> on_loss = [](const connection_loss &) {};
};

class edge_connection;

/// HTTP/1.1 server with pipelining: requests are dispatched as they arrive, and
/// responses are written in request order.
class http_edge
{
public:
    /// Throws boost::system::system_error when \a at can't be bound.
    http_edge(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at,
              edge_limits limits, edge_handlers handlers);

    /// Sends the response to a request. Does nothing when the client has disconnected.
    void respond(call_ref id, edge_answer &&response);

    void set_limits(const edge_limits &limits);

    /// Closes idle connections and those of slow clients. Call a few times per second.
    void sweep(time_point now);

    /// Closes idle connections now, and each other connection after its last pending
    /// response.
    void start_draining();

    /// Accepts the connections that wait and stops listening; clients that come later are refused.
    void stop_listening();

    bool is_listening() const
    {
        return acceptor_.is_open();
    }

    /// \returns whether any request is unanswered or not yet read, or any response has not
    /// reached its client
    bool has_work() const;

    /// \returns the number of requests that were dispatched and not answered
    std::size_t count_unanswered() const
    {
        return pending_.size();
    }

private:
    friend class edge_connection;

    boost::asio::awaitable<void> accept_loop();
    void add_connection(boost::asio::ip::tcp::socket &&socket);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    edge_limits limits_;
    edge_handlers handlers_;
    bool draining_ = false;
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<edge_connection>> connections_;
    std::unordered_map<call_ref, std::shared_ptr<edge_connection>> pending_;
};

/// \returns the end-to-end \a fields as header lines, without the hop-by-hop fields
std::string end_to_end_lines(const boost::beast::http::fields &fields);

}  // namespace gullstall::edge

#endif
