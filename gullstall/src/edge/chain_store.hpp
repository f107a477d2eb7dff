#ifndef GULLSTALL_EDGE_CHAIN_STORE_HPP
#define GULLSTALL_EDGE_CHAIN_STORE_HPP

#include <functional>
#include <map>
#include <string>

#include "gullstall/src/edge/store_watch.hpp"
#include "gullstall/src/mesh/call_chain.hpp"

namespace gullstall::edge {

/// Serialization of the rows of a chain_store.
struct chain_row_format
{
    std::function<std::string(const mesh::calls_per_run &)> serialize;
    std::function<result<mesh::calls_per_run>(std::string_view)> parse;
};

/// Persists in the platform's store, one row per route, which calls the runs of each
/// route make. After a power failure of all nodes none has this in memory, and nodes
/// that had to learn it again would admit requests whose calls reach services that are
/// not up yet.
struct chain_store
{
    std::string prefix;  ///< key prefix of all rows
    store_call call;
    chain_row_format format;
    std::function<void(const std::string &, const mesh::calls_per_run &)> on_chain;
    std::function<void(const mesh::write_line &)> log;
    random_source random;
    std::map<std::string, std::uint64_t> versions;  ///< of the rows, by route
};

/// Reads all rows, retrying until the store responds.
boost::asio::awaitable<void> load_chains(boost::asio::io_context &io, chain_store &it);

/// Writes the row of a route. On a conflict the row that another node wrote is kept
/// and passed to `on_chain`: both nodes have observed runs of the same service.
boost::asio::awaitable<void> save_chain(chain_store &it, std::string route,
                                        mesh::calls_per_run calls);

}  // namespace gullstall::edge

#endif
