#ifndef GULLSTALL_EDGE_OWN_ROW_HPP
#define GULLSTALL_EDGE_OWN_ROW_HPP

#include <functional>
#include <optional>
#include <string>

#include "gullstall/src/edge/store_watch.hpp"

namespace gullstall::edge {

/// A row of the platform's store that only this node writes, for its next process.
class own_row
{
public:
    /// \param key of the row, with its table
    /// \param on_read receives the value at the start, none if there is no such row
    own_row(std::string key, store_call call,
            std::function<void(const std::optional<std::string> &)> on_read,
            std::function<void(const mesh::write_line &)> log, std::uint64_t seed);

    /// Reads the row, retrying until the store responds.
    boost::asio::awaitable<void> load(boost::asio::io_context &io);

    /// Writes the row, retrying until the store has it. A newer save() takes the place of this one.
    /// \returns whether the row was written
    boost::asio::awaitable<bool> save(boost::asio::io_context &io, std::string value);

private:
    boost::asio::awaitable<bool> read();

    std::string key_;
    store_call call_;
    std::function<void(const std::optional<std::string> &)> on_read_;
    std::function<void(const mesh::write_line &)> log_;
    random_source random_;
    std::optional<std::string> value_;
    std::uint64_t version_ = 0;
    std::uint64_t saves_ = 0;
};

}  // namespace gullstall::edge

#endif
