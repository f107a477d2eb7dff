#include "gullstall/src/runtime/tcp_options.hpp"

#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
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
    return good;
}

void limit_unacknowledged_time(asio::ip::tcp::socket &socket, duration limit)
{
    boost::system::error_code ec;
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(static_cast<int>(to_ms(limit))), ec);
}

void ignore_new_clients(asio::ip::tcp::acceptor &acceptor)
{
    constexpr std::uint32_t flags_offset = 13;  // in the TCP header
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t ack = 0x10;
    constexpr std::uint32_t drop = 0;
    constexpr std::uint32_t pass = 0xffffffff;
    std::array<sock_filter, 5> code{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
                                     BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn | ack),
                                     BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
                                     BPF_STMT(BPF_RET | BPF_K, drop),
                                     BPF_STMT(BPF_RET | BPF_K, pass)}};
    sock_fprog filter{static_cast<unsigned short>(code.size()), code.data()};
    ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

std::size_t unacknowledged_bytes(asio::ip::tcp::socket &socket)
{
    int n = 0;
    bool known = ::ioctl(socket.native_handle(), SIOCOUTQ, &n) == 0;
    return known ? static_cast<std::size_t>(n) : 0;
}

bool has_failed(asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t n = sizeof info;
    bool known = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n) == 0;
    return known && info.tcpi_state == TCP_CLOSE;
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
