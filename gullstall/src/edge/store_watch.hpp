#ifndef GULLSTALL_EDGE_STORE_WATCH_HPP
#define GULLSTALL_EDGE_STORE_WATCH_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "gullstall/mesh.hpp"
#include "gullstall/platform.hpp"

namespace gullstall::edge {

/// Asks the platform's store and waits for the answer.
using ask_store = std::function<boost::asio::awaitable<platform_answer>(platform_request)>;

/// What a watch tells.
struct store_watch_handlers
{
    std::function<void(const table_row &)> changed;
    std::function<void(const mesh::write_line &)> log;
};

/// Follows the rows whose key begins with a prefix: reads them all, then waits
/// for changes. It goes on for as long as the process runs.
struct store_watch
{
    std::string prefix;
    std::uint32_t wait_ms;
    ask_store ask;
    store_watch_handlers handlers;
    random_source random;
};

/// Runs a watch.
boost::asio::awaitable<void> run_watch(boost::asio::io_context &io, store_watch it);

/// \returns the pause before the next call to a store after \a failures calls
/// in a row that failed; spread, so that nodes that failed together don't come
/// back together
duration draw_store_pause(random_source &random, std::uint32_t failures);

/// Waits for \a pause.
boost::asio::awaitable<void> wait_for(boost::asio::io_context &io, duration pause);

}  // namespace gullstall::edge

#endif
