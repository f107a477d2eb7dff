#ifndef GULLSTALL_EDGE_NODE_REGISTRATION_HPP
#define GULLSTALL_EDGE_NODE_REGISTRATION_HPP

#include <functional>
#include <string>
#include <vector>

#include "gullstall/src/edge/store_watch.hpp"

namespace gullstall::edge {

/// Registration of a node in the platform's store, and discovery of the other nodes. A
/// node writes its own row first, then reads all rows and connects to the nodes in
/// them, so that of any two nodes the later one finds the other. Nodes don't watch for
/// changes: the number of store calls per start does not depend on the number of
/// nodes.
struct node_registration
{
    std::string prefix;  ///< key prefix of all nodes' rows
    table_row own_row;   ///< key and value; the version is ignored
    store_call call;
    std::function<void(const std::vector<table_row> &)>
        on_rows;  ///< all rows, including the own one
    std::function<void(const mesh::write_line &)> log;
    random_source random;
};

/// Writes the own row unless it is up to date, and then reads all rows.
/// \returns false when a store call failed
boost::asio::awaitable<bool> register_once(node_registration &it);

/// Registers the node now and again every few minutes, as long as the process runs.
boost::asio::awaitable<void> run_registration(boost::asio::io_context &io, node_registration it);

}  // namespace gullstall::edge

#endif
