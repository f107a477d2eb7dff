#include "gullstall/src/edge/upstream_connect.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace gullstall::edge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// The upstream runs on the same instance and accepts a connection within about 1 ms,
/// so that one that exceeds this timeout is not accepting connections.
constexpr std::chrono::milliseconds connect_timeout(500);

}  // namespace

asio::awaitable<error_code> connect_upstream(asio::ip::tcp::socket &socket,
                                             asio::ip::tcp::endpoint to,
                                             std::shared_ptr<void> owner)
{
    asio::steady_timer limit(socket.get_executor(), connect_timeout);
    limit.async_wait([&socket, owner](const error_code &ec) {
        error_code ignored;
        if (!ec) {
            socket.close(ignored);
        }
    });
    error_code ec;
    co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    limit.cancel();
    co_return ec;
}

}  // namespace gullstall::edge
