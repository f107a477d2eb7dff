#ifndef GULLSTALL_EDGE_UPSTREAM_CLIENT_HPP
#define GULLSTALL_EDGE_UPSTREAM_CLIENT_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "gullstall/mesh.hpp"

namespace gullstall::edge {

/// Names of the header fields by which nodes, callers and upstreams speak of a
/// request. They belong to the platform that the node runs on.
struct field_names
{
    std::string request_id;
    std::string time_left_ms;       ///< milliseconds that the sender still waits
    std::string expected_upstream;  ///< id of the incarnation that is to run the request
    std::string caller_service;     ///< service of the instance where the request began
    std::string not_executed;       ///< in answers: the upstream did not run the request

    bool operator==(const field_names &) const = default;
};

class upstream_exchange;

/// HTTP/1.1 client to the upstream beside the node. Connections are kept.
class upstream_client
{
public:
    using ended_handler = std::function<void(run_ref, mesh::run_result &&)>;

    upstream_client(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint to,
                    field_names names, ended_handler ended);

    /// Hands a request over. The handler is told of its end, unless cancel()
    /// comes first.
    void start(mesh::start_run &&order);

    /// Breaks the exchange off; the upstream sees its connection close.
    void cancel(run_ref run);

    /// Closes the connections that are idle.
    void forget_connections();

    /// Closes connections that were idle for too long.
    void sweep(time_point now);

    /// \returns how many connections were opened
    std::uint64_t connects() const
    {
        return connects_;
    }

private:
    friend class upstream_exchange;

    /// A connection without a request.
    struct idle_connection
    {
        boost::asio::ip::tcp::socket socket;
        time_point idle_since;
        duration reusable_for;
    };

    std::optional<boost::asio::ip::tcp::socket> take_idle();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::endpoint to_;
    field_names names_;
    ended_handler ended_;
    std::unordered_map<run_ref, std::shared_ptr<upstream_exchange>> exchanges_;
    std::vector<idle_connection> idle_;
    std::uint64_t generation_ = 0;  ///< connections of an earlier one are not kept
    std::uint64_t connects_ = 0;
};

}  // namespace gullstall::edge

#endif
