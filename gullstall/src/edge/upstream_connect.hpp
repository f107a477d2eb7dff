#ifndef GULLSTALL_EDGE_UPSTREAM_CONNECT_HPP
#define GULLSTALL_EDGE_UPSTREAM_CONNECT_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "gullstall/core.hpp"

namespace gullstall::edge {

/// Longest idle time before reuse of a connection when the upstream sends no
/// keep-alive timeout.
constexpr duration default_keep_alive_time = seconds(2);

/// Connects \a socket to the local upstream.
/// \param owner keeps the socket alive while the attempt lasts
/// \returns operation_aborted if the upstream does not accept the connection in time
boost::asio::awaitable<boost::system::error_code> connect_upstream(
    boost::asio::ip::tcp::socket &socket, boost::asio::ip::tcp::endpoint to,
    std::shared_ptr<void> owner);

}  // namespace gullstall::edge

#endif
