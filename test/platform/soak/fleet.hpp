#ifndef GULLSTALL_TEST_PLATFORM_SOAK_FLEET_HPP
#define GULLSTALL_TEST_PLATFORM_SOAK_FLEET_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <string>
#include <vector>

#include "gullstall/core.hpp"

namespace gullstall::standin {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// What an upstream did with the attempts at one request.
struct run_record
{
    int runs = 0;                ///< started
    int ends = 0;                ///< answered in full by the upstream
    time_point last_started_at;  ///< of the last run
    time_point last_ended_at;
};

/// What all upstreams ran, by the id of the request.
using run_book = std::map<std::string, run_record>;

/// Addresses of an instance: one loopback address, a port for each interface.
struct instance_address
{
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;

    boost::asio::ip::tcp::endpoint at(std::uint16_t port) const;
};

namespace port {
inline constexpr std::uint16_t callers = 8304;
inline constexpr std::uint16_t peers = 7620;
inline constexpr std::uint16_t readiness = 8302;
inline constexpr std::uint16_t control = 8306;
inline constexpr std::uint16_t metrics = 7635;
inline constexpr std::uint16_t upstream = 8301;
inline constexpr std::uint16_t store = 8309;
}  // namespace port

/// Writes the settings file of the node, replacing the old one at once.
/// \param store IP number of the platform's store
void write_settings(const instance_address &it, const std::string &store, const std::string &file,
                    int retry_slack);

/// Starts \a program with the settings; output is appended to \a log.
int start_process(const std::string &program, const std::string &settings, const std::string &log);

/// One exchange over a connection of its own.
/// \returns status, 0 if no whole answer came in time
boost::asio::awaitable<unsigned> exchange(boost::asio::io_context &io,
                                          boost::asio::ip::tcp::endpoint to, http_request request,
                                          duration timeout);

/// Waits; the time may be over late on a busy machine.
boost::asio::awaitable<void> sleep_for(boost::asio::io_context &io, duration time);

}  // namespace gullstall::standin

#endif
