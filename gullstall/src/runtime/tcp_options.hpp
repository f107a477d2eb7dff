#ifndef GULLSTALL_RUNTIME_TCP_OPTIONS_HPP
#define GULLSTALL_RUNTIME_TCP_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

#include "gullstall/settings.hpp"

namespace gullstall::runtime {

/// Sets what all connections share: no delay of small writes, and keep-alive
/// probes with a bound on unacknowledged bytes. A connection can fall silent
/// for good while new ones work, and without these it would look healthy.
/// \returns false when the connection is gone already
bool set_tcp_options(boost::asio::ip::tcp::socket &socket);

/// Lets a listening socket ignore clients that begin to connect. Those that have begun
/// still complete and can be accepted; the others try again, and are refused once the
/// socket is closed.
void ignore_new_clients(boost::asio::ip::tcp::acceptor &acceptor);

/// \returns whether an idle connection can carry a request: readable means that
/// the other side closed it or sent what nobody asked for
bool is_fresh(boost::asio::ip::tcp::socket &socket);

/// \returns \a it as Asio takes it; its address was checked by the settings
boost::asio::ip::tcp::endpoint tcp_endpoint(const endpoint &it);

}  // namespace gullstall::runtime

#endif
