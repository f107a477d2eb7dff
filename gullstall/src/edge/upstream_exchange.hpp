#ifndef GULLSTALL_EDGE_UPSTREAM_EXCHANGE_HPP
#define GULLSTALL_EDGE_UPSTREAM_EXCHANGE_HPP

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/vector_body.hpp>

#include "gullstall/src/edge/upstream_client.hpp"

namespace gullstall::edge {

/// A request to the upstream and its response.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange>
{
public:
    upstream_exchange(upstream_client &owner, mesh::start_run &&order);

    boost::asio::awaitable<void> run();
    void cancel();

    /// Ends the exchange without a response.
    void abort(mesh::run_end how);

    /// \returns the bytes of the response's body that have been read
    std::size_t response_bytes() const
    {
        return response_bytes_;
    }

private:
    using response_parser =
        boost::beast::http::response_parser<boost::beast::http::vector_body<std::uint8_t>>;

    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<mesh::run_result> read_matching_response();
    boost::asio::awaitable<bool> read_header(response_parser &parser);
    boost::asio::awaitable<bool> read_body(response_parser &parser);
    void add_response_bytes(std::size_t n);
    void return_response_bytes();
    void report_notice(const response_parser::value_type &response, bool is_stale);
    void write_request();
    bool is_whole(const response_parser &parser);
    bool was_not_executed(const response_parser::value_type &response) const;
    mesh::run_result to_run_result(response_parser::value_type &&response) const;
    void evaluate_reuse(const response_parser::value_type &response, bool is_framed);
    void complete(mesh::run_result &&result);

    upstream_client &owner_;
    mesh::start_run order_;
    std::string head_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buf_;
    std::uint64_t generation_;
    std::size_t response_bytes_ = 0;
    bool request_written_ = false;
    bool write_failed_ = false;
    bool completed_ = false;
    bool reusable_ = false;
    duration keep_alive_time_{};
};

}  // namespace gullstall::edge

#endif
