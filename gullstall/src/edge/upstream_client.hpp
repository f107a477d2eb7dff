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

/// Platform-specific names of the header fields that nodes, callers and upstreams
/// exchange with a request.
struct header_names
{
    std::string request_id;
    std::string time_left_ms;       ///< how long the sender still waits, in milliseconds
    std::string expected_upstream;  ///< id of the upstream incarnation that is to run the request
    std::string caller_service;     ///< service of the instance that issued the request
    std::string not_executed;       ///< in responses: the upstream did not run the request
    std::string customer;           ///< customer on whose behalf the request is made
    std::string request_limit;      ///< in responses: requests per second that the upstream takes
    std::string leaving;            ///< in responses: the upstream is shutting down if "1"

    bool operator==(const header_names &) const = default;
};

class upstream_exchange;

/// HTTP/1.1 client for the upstream on the same instance, with persistent connections.
class upstream_client
{
public:
    using completion_handler = std::function<void(run_ref, mesh::run_result &&)>;
    /// Receives what the upstream says of itself, before the body of the response has been
    /// read. The run is none if the response is a late one to an earlier request.
    using notice_handler =
        std::function<void(std::optional<run_ref>, const mesh::upstream_notice &)>;

    /// Receives what an exception says that has ended an exchange or a probe.
    using exception_handler = std::function<void(const std::string &)>;

    upstream_client(
        boost::asio::io_context &io, boost::asio::ip::tcp::endpoint to, header_names names,
        completion_handler on_complete, notice_handler on_notice,
        exception_handler on_exception = [](const std::string &) {});

    /// Bounds the bodies of all responses that are being read, in bytes. Beyond it the largest
    /// one is given up: an upstream may send bytes without end.
    void limit_response_memory(std::size_t bytes);

    static constexpr std::size_t default_response_memory = 64U << 20U;

    /// Sends a request. The completion handler is called when it ends, unless cancel()
    /// is called first.
    void start(mesh::start_run &&order);

    /// Aborts the exchange by closing its connection, which the upstream can detect.
    void cancel(run_ref run);

    /// Opens a connection and keeps it for the next request.
    /// \param on_result receives what the attempt says about the upstream's process
    void probe(std::function<void(mesh::upstream_probe)> on_result);

    /// Closes the idle connections; those in use are closed after their exchange.
    void discard_connections();

    /// Closes connections whose idle time has expired.
    void sweep(time_point now);

    /// \returns the number of connection attempts so far
    std::uint64_t connections_opened() const
    {
        return connections_opened_;
    }

private:
    friend class upstream_exchange;

    /// A persistent connection without a pending request.
    struct idle_connection
    {
        boost::asio::ip::tcp::socket socket;
        time_point idle_since;
        duration keep_alive_time;
    };

    std::optional<boost::asio::ip::tcp::socket> take_idle_connection();
    void add_response_bytes(std::size_t n);
    boost::asio::awaitable<mesh::upstream_probe> open_probe();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::endpoint endpoint_;
    header_names names_;
    completion_handler on_complete_;
    notice_handler on_notice_;
    exception_handler on_exception_;
    std::unordered_map<run_ref, std::shared_ptr<upstream_exchange>> exchanges_;
    std::vector<idle_connection> idle_;
    std::uint64_t generation_ = 0;  ///< connections of an earlier generation are not reused
    std::uint64_t connections_opened_ = 0;
    std::size_t response_bytes_ = 0;  ///< of the bodies that are being read
    std::size_t max_response_bytes_ = default_response_memory;
};

}  // namespace gullstall::edge

#endif
