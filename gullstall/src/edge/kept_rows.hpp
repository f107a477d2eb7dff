#ifndef GULLSTALL_EDGE_KEPT_ROWS_HPP
#define GULLSTALL_EDGE_KEPT_ROWS_HPP

#include <functional>
#include <map>
#include <string>

#include "gullstall/src/edge/store_watch.hpp"

namespace gullstall::edge {

/// A row as it was read.
struct kept_row
{
    std::string key;  ///< without the prefix
    std::string value;
    std::uint64_t store_ms = 0;  ///< clock of the store at the read, milliseconds; 0: not told
};

/// Rows of one table of the platform's store in which the nodes keep what they have learned and
/// what must outlive all of them: calls that runs make, and requests that crash upstreams.
struct kept_rows
{
    std::string prefix;  ///< key prefix of all rows
    store_call call;
    /// Applies a row that was read. An error is logged and concerns this row only.
    std::function<result<done>(const kept_row &)> on_row;
    std::function<void(const mesh::write_line &)> log;
    random_source random;
    std::map<std::string, std::uint64_t> versions{};  ///< of the rows, by key
    std::uint64_t store_ms = 0;                       ///< clock of the store when last heard
    time_point heard_at{};
};

/// Reads all rows, retrying until the store responds.
boost::asio::awaitable<void> load_rows(boost::asio::io_context &io, kept_rows &it);

/// Writes a row. On a conflict the row that another node wrote is kept and passed to `on_row`.
/// \returns done, conflict, or what prevented the write
boost::asio::awaitable<platform_status> save_row(kept_rows &it, std::string key, std::string value);

/// \returns the clock of the store, milliseconds; 0 if it was never told
std::uint64_t store_clock_ms(const kept_rows &it, time_point now);

}  // namespace gullstall::edge

#endif
