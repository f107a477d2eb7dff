#ifndef GULLSTALL_RUNTIME_HTTP_CLIENT_HPP
#define GULLSTALL_RUNTIME_HTTP_CLIENT_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "gullstall/src/runtime/http_server.hpp"

namespace gullstall::runtime {

/// How an HTTP exchange ended.
enum class exchange_end
{
    answered,  ///< a whole response came
    not_sent,  ///< no byte of the request left
    lost       ///< the request left, in part at least, and no whole response came
};

/// Outcome of an exchange; the response counts only when it was answered.
struct exchange
{
    exchange_end end;
    http_response response;
    boost::system::error_code error{};  ///< why no whole response came
};

/// A connection in use, so that its exchange can be broken off.
struct exchange_handle
{
    boost::beast::tcp_stream *stream = nullptr;
    bool cancelled = false;
};

/// HTTP/1.1 client to one server; connections are kept and used again. An exchange that is lost
/// ends the idle ones, which may be as dead as its own.
class http_client
{
public:
    /// \param max_idle_time after which a connection is not used again
    http_client(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint to,
                std::uint64_t body_limit,
                std::chrono::steady_clock::duration max_idle_time =
                    std::chrono::steady_clock::duration::max());

    /// Sends \a request and reads the response, within \a timeout.
    /// \param handle lets cancel() break the exchange off, may be null
    boost::asio::awaitable<exchange> send(http_request request, duration timeout,
                                          std::shared_ptr<exchange_handle> handle);

    /// Breaks off the exchange; the server sees its connection close.
    static void cancel(exchange_handle &handle);

private:
    struct idle_connection
    {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        std::chrono::steady_clock::time_point since;
    };

    std::unique_ptr<boost::beast::tcp_stream> take_idle();

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::endpoint to_;
    std::uint64_t body_limit_;
    std::chrono::steady_clock::duration max_idle_time_;
    std::vector<idle_connection> idle_;
};

}  // namespace gullstall::runtime

#endif
