#include "gullstall/src/runtime/tcp_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <cerrno>

namespace gullstall::runtime {

namespace {

namespace asio = boost::asio;
template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int probe_after_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 2;

/// Bytes without an acknowledgement for this long end the connection. Three
/// losses in a row on a link that loses 3 in 100 are rarer than one in 30,000.
constexpr int unacknowledged_ms = 2000;

}  // namespace

bool set_tcp_options(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    bool good = !ec;
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(probe_after_s), ec);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(probe_interval_s), ec);
    socket.set_option(tcp_option<TCP_KEEPCNT>(probe_count), ec);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(unacknowledged_ms), ec);
    return good;
}

asio::ip::tcp::endpoint tcp_endpoint(const endpoint &it)
{
    return {asio::ip::make_address(it.address), it.port};
}

bool is_fresh(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace gullstall::runtime
