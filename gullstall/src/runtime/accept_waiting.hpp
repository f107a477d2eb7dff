#ifndef GULLSTALL_RUNTIME_ACCEPT_WAITING_HPP
#define GULLSTALL_RUNTIME_ACCEPT_WAITING_HPP

#include <boost/asio/ip/tcp.hpp>

namespace gullstall::runtime {

/// Accepts the connections in the accept queue without waiting for more.
/// \param on_accept receives the socket of each
template <class Handler>
void accept_waiting(boost::asio::ip::tcp::acceptor &acceptor, Handler on_accept)
{
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        boost::asio::ip::tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
        if (!ec) {
            on_accept(std::move(socket));
        }
    }
}

}  // namespace gullstall::runtime

#endif
