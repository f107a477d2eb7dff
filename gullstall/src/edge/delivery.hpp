#ifndef GULLSTALL_EDGE_DELIVERY_HPP
#define GULLSTALL_EDGE_DELIVERY_HPP

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "gullstall/src/core/time.hpp"

namespace gullstall::edge {

/// How much of what was written to a connection its client has acknowledged. A response that the
/// socket has taken is lost if the process ends, or the client sends more after the close, before
/// that.
struct delivery
{
    bool is_complete = true;
    std::size_t unacknowledged_bytes = 0;  ///< as last seen
    time_point progressed_at{};            ///< when that last changed

    bool operator==(const delivery &) const = default;
};

/// Asks the socket, if not all was acknowledged before.
/// \returns whether all is
bool update_delivery(delivery &it, boost::asio::ip::tcp::socket &socket, time_point now);

}  // namespace gullstall::edge

#endif
