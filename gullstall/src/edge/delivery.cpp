#include "gullstall/src/edge/delivery.hpp"

#include "gullstall/src/runtime/tcp_options.hpp"

namespace gullstall::edge {

bool update_delivery(delivery &it, boost::asio::ip::tcp::socket &socket, time_point now)
{
    if (it.is_complete) {
        return true;
    }
    std::size_t n = runtime::unacknowledged_bytes(socket);
    if (n != it.unacknowledged_bytes) {
        it.unacknowledged_bytes = n;
        it.progressed_at = now;
    }
    it.is_complete = n == 0;
    return it.is_complete;
}

}  // namespace gullstall::edge
