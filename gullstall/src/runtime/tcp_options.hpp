#ifndef GULLSTALL_RUNTIME_TCP_OPTIONS_HPP
#define GULLSTALL_RUNTIME_TCP_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

#include "gullstall/core.hpp"
#include "gullstall/settings.hpp"

namespace gullstall::runtime {

/// Sets what all connections share: no delay of small writes, and keep-alive probes. An idle
/// connection can fall silent for good while new ones work, and without probes it would look
/// healthy.
/// \returns false when the connection is gone already
bool set_tcp_options(boost::asio::ip::tcp::socket &socket);

/// Time without an acknowledgement after which a connection counts as dead. Three losses in a
/// row on a link that loses 3 in 100 are rarer than one in 30,000.
inline constexpr duration unacknowledged_limit = seconds(2);

/// Ends the connection when sent bytes are not acknowledged, or the peer takes none, for \a limit.
/// Not for peers that may read slowly: a closed window counts, too.
void limit_unacknowledged_time(boost::asio::ip::tcp::socket &socket, duration limit);

/// Lets a listening socket ignore clients that begin to connect. Those that have begun
/// still complete and can be accepted; the others try again, and are refused once the
/// socket is closed.
void ignore_new_clients(boost::asio::ip::tcp::acceptor &acceptor);

/// \returns whether an idle connection can carry a request: readable means that
/// the other side closed it or sent what nobody asked for
bool is_fresh(boost::asio::ip::tcp::socket &socket);

/// \returns the bytes that were written to the socket and that its peer's system has not yet
/// acknowledged, an end of the stream included; 0 if that is not known
std::size_t unacknowledged_bytes(boost::asio::ip::tcp::socket &socket);

/// \returns whether the connection was reset or has timed out. A failed write takes the error with
/// it, and the next read then meets what looks like an orderly end of the stream.
bool has_failed(boost::asio::ip::tcp::socket &socket);

/// \returns \a it as Asio takes it; its address was checked by the settings
boost::asio::ip::tcp::endpoint tcp_endpoint(const endpoint &it);

}  // namespace gullstall::runtime

#endif
