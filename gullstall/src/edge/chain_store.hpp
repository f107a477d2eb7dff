#ifndef GULLSTALL_EDGE_CHAIN_STORE_HPP
#define GULLSTALL_EDGE_CHAIN_STORE_HPP

#include <functional>
#include <map>
#include <string>

#include "gullstall/src/edge/store_watch.hpp"
#include "gullstall/src/mesh/call_chain.hpp"

namespace gullstall::edge {

/// How the rows of a chain store are written.
struct chain_row_format
{
    std::function<std::string(const mesh::calls_per_run &)> print;
    std::function<result<mesh::calls_per_run>(std::string_view)> read;
};

/// What runs of each route call, kept in the platform's store: a row a route. When all
/// nodes lose power at once, nobody remembers it, and nodes that must learn it anew let
/// in requests whose calls meet services that are not back yet.
struct chain_store
{
    std::string prefix;  ///< of the rows of all routes
    ask_store ask;
    chain_row_format format;
    std::function<void(const std::string &, const mesh::calls_per_run &)> found;
    std::function<void(const mesh::write_line &)> log;
    random_source random;
    std::map<std::string, std::uint64_t> versions;  ///< of the rows, by route
};

/// Reads all rows; tries until the store answers.
boost::asio::awaitable<void> load_chains(boost::asio::io_context &io, chain_store &it);

/// Writes the row of a route. Where another node was faster, its row stands and is
/// told: both have seen runs of the same service.
boost::asio::awaitable<void> save_chain(chain_store &it, std::string route,
                                        mesh::calls_per_run calls);

}  // namespace gullstall::edge

#endif
