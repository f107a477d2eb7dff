#ifndef GULLSTALL_RUNTIME_HTTP_SERVER_HPP
#define GULLSTALL_RUNTIME_HTTP_SERVER_HPP

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/vector_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include "gullstall/src/core/time.hpp"

namespace gullstall::runtime {

using http_request = boost::beast::http::request<boost::beast::http::vector_body<std::uint8_t>>;
using http_response = boost::beast::http::response<boost::beast::http::vector_body<std::uint8_t>>;

/// Limits of an HTTP server. What goes beyond them is refused with a reason.
struct http_limits
{
    std::uint64_t body_bytes;
    std::uint32_t header_bytes;
    std::uint32_t connections;
    duration read_timeout;  ///< for a whole request, from its first byte
};

/// What an HTTP server hands to its owner. All are called on the server's thread.
struct http_handlers
{
    /// A whole request came; it is answered later through answer().
    std::function<void(std::uint64_t id, http_request &&request)> on_request;
    /// The client of an unanswered request has gone.
    std::function<void(std::uint64_t id)> on_abandoned;
};

/// HTTP/1.1 server that hands out requests and takes answers in any order.
class http_server
{
public:
    http_server(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &at,
                http_limits limits, http_handlers handlers);

    /// Answers request \a id; an id that is gone is passed over.
    void answer(std::uint64_t id, http_response &&response);

    /// \returns where it listens; the port is the system's choice when 0 was asked for
    boost::asio::ip::tcp::endpoint local_endpoint() const
    {
        return acceptor_.local_endpoint();
    }

    /// Ends idle connections, and the others after their answer is written. Clients
    /// that have begun to connect are still served; then the listening socket closes.
    void stop();

    /// \returns whether stop() has taken effect and every connection is closed;
    /// may be called on any thread
    bool is_drained() const
    {
        return closed_ && open_ == 0;
    }

private:
    struct waiter
    {
        boost::asio::steady_timer signal;
        std::optional<http_response> response;
    };

    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::vector_body<std::uint8_t>>;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> close_acceptor();
    void accept_waiting();
    boost::asio::awaitable<void> serve(boost::beast::tcp_stream stream);
    static boost::asio::awaitable<void> read_whole(boost::beast::tcp_stream &stream,
                                                   boost::beast::flat_buffer &buf,
                                                   request_parser &parser,
                                                   boost::system::error_code &ec);
    boost::asio::awaitable<std::optional<http_request>> read_request(
        boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buf);
    boost::asio::awaitable<std::optional<http_response>> wait_answer(
        boost::beast::tcp_stream &stream, http_request &&request);
    boost::asio::awaitable<void> refuse(boost::beast::tcp_stream &stream,
                                        boost::beast::http::status status,
                                        const std::string &reason);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    http_limits limits_;
    http_handlers handlers_;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiting_;
    std::uint64_t last_id_ = 0;
    std::set<boost::beast::tcp_stream *> idle_;  ///< between two requests
    std::atomic<std::uint32_t> open_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint32_t refusing_ = 0;  // connections beyond the limit that are being told so
    bool stopping_ = false;
    std::atomic<bool> closed_ = false;
};

}  // namespace gullstall::runtime

#endif
