#ifndef GULLSTALL_EDGE_STORE_WATCH_HPP
#define GULLSTALL_EDGE_STORE_WATCH_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "gullstall/mesh.hpp"
#include "gullstall/platform.hpp"

namespace gullstall::edge {

/// Sends a request to the platform's store and awaits the response.
using store_call = std::function<boost::asio::awaitable<platform_answer>(platform_request)>;

/// Callbacks of a watch.
struct store_watch_handlers
{
    std::function<void(const table_row &)> on_row;
    /// Whether changes are waited for. While they are not, no calls are made.
    std::function<bool()> is_wanted;
    /// When the feeds are to end.
    std::function<mesh::feed_timing()> timing;
    /// The store has become unreachable (false) or reachable (true).
    std::function<void(bool works)> on_reachable;
    /// The store has answered.
    std::function<void()> on_answer;
    std::function<void(const mesh::write_line &)> log;
};

/// Watches the rows whose keys begin with a prefix: reads them all, then waits for
/// changes while that is wanted. It runs as long as the process.
struct store_watch
{
    std::string prefix;
    duration max_answer_margin{};  ///< of a feed, when the store has been slow
    store_call call;
    store_watch_handlers handlers;
    random_source random;
};

/// Runs a watch.
boost::asio::awaitable<void> run_watch(boost::asio::io_context &io, store_watch it);

/// \returns the randomized backoff after \a failures consecutive failed store calls;
/// the jitter spreads the retries of nodes that failed together
duration draw_store_backoff(random_source &random, std::uint32_t failures);

boost::asio::awaitable<void> async_sleep(boost::asio::io_context &io, duration pause);

}  // namespace gullstall::edge

#endif
