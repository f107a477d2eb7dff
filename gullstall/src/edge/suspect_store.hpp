#ifndef GULLSTALL_EDGE_SUSPECT_STORE_HPP
#define GULLSTALL_EDGE_SUSPECT_STORE_HPP

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gullstall/src/edge/kept_rows.hpp"

namespace gullstall::edge {

/// Serialization of the row of a suspect_store.
struct suspect_row_format
{
    /// \param store_ms clock of the store
    std::function<std::string(const std::vector<kept_suspect> &, std::uint64_t store_ms)> print;
    /// \returns the suspects with their ages at \a store_ms
    std::function<result<std::vector<kept_suspect>>(std::string_view, std::uint64_t store_ms)> read;
};

/// What a suspect_store reports to the node.
struct suspect_store_handlers
{
    std::function<void(const std::vector<kept_suspect> &)> on_read;
    std::function<void(bool written)> on_saved;
};

/// The suspects of crashes in the platform's store, all in one row.
class suspect_store
{
public:
    suspect_store(std::string table, store_call call, suspect_row_format format,
                  suspect_store_handlers handlers,
                  std::function<void(const mesh::write_line &)> log, std::uint64_t seed);

    /// Reads the row, retrying until the store responds. A row that can't be read counts as
    /// empty, and the next write replaces it.
    boost::asio::awaitable<void> load(boost::asio::io_context &io);

    /// Writes the row. On a conflict the row of the other node is kept and reported as read.
    boost::asio::awaitable<void> save(std::vector<kept_suspect> suspects);

private:
    suspect_row_format format_;
    suspect_store_handlers handlers_;
    kept_rows rows_;
    std::vector<kept_suspect> last_read_;
};

}  // namespace gullstall::edge

#endif
