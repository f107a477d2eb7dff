#ifndef GULLSTALL_EDGE_NODE_REGISTRATION_HPP
#define GULLSTALL_EDGE_NODE_REGISTRATION_HPP

#include <functional>
#include <string>
#include <vector>

#include "gullstall/src/edge/store_watch.hpp"

namespace gullstall::edge {

/// A node's row in the platform's store, and how it learns of the others there.
/// A node reads all rows after its own stands there and connects to the nodes
/// that they name; of any two nodes the one that comes later so finds the other.
/// Nobody waits for changes: a start costs as many store calls with many nodes
/// as with few.
struct node_registration
{
    std::string prefix;  ///< of the rows of all nodes
    table_row own;       ///< key and value; the version is not used
    ask_store ask;
    std::function<void(const std::vector<table_row> &)> found;  ///< all rows, own included
    std::function<void(const mesh::write_line &)> log;
    random_source random;
};

/// Makes sure that the own row stands in the store and reads all rows after it.
/// \returns false when the store did not do all of it
boost::asio::awaitable<bool> register_once(node_registration &it);

/// Registers, and again every few minutes, for as long as the process runs.
boost::asio::awaitable<void> run_registration(boost::asio::io_context &io, node_registration it);

}  // namespace gullstall::edge

#endif
