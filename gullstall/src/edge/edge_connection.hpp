#ifndef GULLSTALL_EDGE_EDGE_CONNECTION_HPP
#define GULLSTALL_EDGE_EDGE_CONNECTION_HPP

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/vector_body.hpp>
#include <deque>
#include <optional>

#include "gullstall/src/edge/delivery.hpp"
#include "gullstall/src/edge/http_edge.hpp"

namespace gullstall::edge {

/// A client connection of an http_edge.
class edge_connection : public std::enable_shared_from_this<edge_connection>
{
public:
    edge_connection(http_edge &owner, std::uint64_t id, boost::asio::ip::tcp::socket &&socket);

    /// Reads requests until the client closes the connection or violates the protocol.
    boost::asio::awaitable<void> run();

    void respond(call_ref id, edge_answer &&response);
    void sweep(time_point now);
    void start_draining();
    /// Closes the connection; its unanswered requests are reported as abandoned.
    void close_connection();

    /// \returns whether any request is unanswered or not yet read, or any response has not
    /// reached the client
    bool has_work();

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::vector_body<std::uint8_t>>;

    /// A pipelined request and its response.
    struct exchange
    {
        call_ref id;
        bool is_head;  ///< the response has no body
        bool keep_alive;
        std::optional<edge_answer> response{};
        std::string head{};  ///< of the response, once it is being written
        bool close = false;  ///< close the connection after this response
    };

    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<boost::system::error_code> read_message();
    boost::asio::awaitable<void> send_continue();
    boost::asio::awaitable<void> drain_input();
    bool dispatch_request();
    void reject(std::uint16_t status, const char *text);
    void reject_unparsable(const boost::system::error_code &ec);
    void write_next_response();
    void close_if_idle(const char *why);
    void begin_lingering_close(const char *why);
    void report_loss(const char *why);
    bool is_idle();
    bool is_delivered(time_point at);
    bool is_stalled(time_point at);
    bool has_lingered(time_point at);
    bool closes_after(const exchange &front) const;

    http_edge &owner_;
    std::uint64_t id_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buf_;
    std::optional<request_parser> parser_;
    boost::asio::steady_timer pipeline_space_;  ///< cancelled when the pipeline has space again
    std::deque<exchange> pipeline_;
    bool writing_ = false;
    bool accepts_requests_ = true;  ///< false once no further requests are read
    bool closed_ = false;
    std::optional<time_point>
        partial_request_since_;  ///< when an incomplete request was first seen
    std::optional<time_point> write_since_;
    delivery delivery_;                     ///< of the responses and of the end of the stream
    const char *closes_if_idle_ = nullptr;  ///< why, once the pending read has ended
    std::optional<time_point> closing_since_;
    time_point idle_since_;
};

}  // namespace gullstall::edge

#endif
