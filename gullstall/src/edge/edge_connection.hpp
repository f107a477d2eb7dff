#ifndef GULLSTALL_EDGE_EDGE_CONNECTION_HPP
#define GULLSTALL_EDGE_EDGE_CONNECTION_HPP

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/vector_body.hpp>
#include <deque>
#include <optional>

#include "gullstall/src/edge/http_edge.hpp"

namespace gullstall::edge {

/// One client's connection to an http_edge.
class edge_connection : public std::enable_shared_from_this<edge_connection>
{
public:
    edge_connection(http_edge &owner, std::uint64_t id, boost::asio::ip::tcp::socket &&socket);

    /// Reads requests until the client closes or breaks the protocol.
    boost::asio::awaitable<void> run();

    void answer(call_ref id, edge_answer &&answer);
    void sweep(time_point now);
    void close_gently();

    /// \returns whether a request has no answer yet, or an answer is not written
    bool has_work() const
    {
        return !pipeline_.empty();
    }

private:
    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::vector_body<std::uint8_t>>;

    /// A request that has its place in the order of answers.
    struct exchange
    {
        call_ref id;
        bool is_head;  ///< its answer has no body
        bool keep_alive;
        std::optional<std::string> head;  ///< of the answer, once there is one
        std::vector<std::uint8_t> body;
        bool close = false;
    };

    boost::asio::awaitable<bool> read_request();
    boost::asio::awaitable<void> allow_body();
    boost::asio::awaitable<void> discard();
    bool take_request();
    void refuse(std::uint16_t status, const char *text);
    void refuse_unreadable(const boost::system::error_code &ec);
    void write_next();
    void end_after_answer();
    void lose();
    bool is_idle() const;

    http_edge &owner_;
    std::uint64_t id_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buf_;
    std::optional<request_parser> parser_;
    boost::asio::steady_timer room_;  ///< ends when the pipeline has room again
    std::deque<exchange> pipeline_;
    bool writing_ = false;
    bool reading_ = true;  ///< further requests are taken
    bool lost_ = false;
    std::optional<time_point> request_since_;  ///< when a request was first seen unfinished
    std::optional<time_point> write_since_;
    std::optional<time_point> closing_since_;
    time_point idle_since_;
};

}  // namespace gullstall::edge

#endif
