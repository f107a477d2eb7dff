#ifndef GULLSTALL_EDGE_PEER_CONNECTION_HPP
#define GULLSTALL_EDGE_PEER_CONNECTION_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gullstall/core.hpp"
#include "gullstall/generated/mesh_generated.h"
#include "gullstall/src/edge/byte_packer.hpp"

namespace gullstall::edge {

/// A connection that carries frames between two nodes, for either side.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// Callbacks of a connection.
    struct handlers
    {
        std::function<void(mesh_wire::frame_message &&)> on_frame;
        std::function<void(const std::string &why)> on_closed;
    };

    peer_connection(boost::asio::ip::tcp::socket &&socket, handlers handlers);

    /// Sets handlers that need a reference to the connection itself.
    void set_handlers(handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    /// Reads frames until the connection is closed.
    boost::asio::awaitable<void> run();

    /// Compresses frames sent from now on, once some have been sent. Used between
    /// availability zones, where traffic is billed: call frames shrink to a fifth of their
    /// size. A flag in each block tells the receiver whether it is compressed.
    void enable_compression()
    {
        compresses_ = true;
    }

    bool is_between_zones() const
    {
        return between_zones_;
    }

    void set_between_zones()
    {
        between_zones_ = true;
    }

    /// Queues an encoded frame for sending.
    /// \param correlation of a call, otherwise 0
    /// \returns false when the send queue is full or the connection is closed, and the
    /// frame was not queued
    bool send(std::string bytes, std::uint64_t correlation);

    /// Closes the connection; `on_closed` is called once.
    void close(const std::string &why);

    /// \returns the correlation ids of queued calls of which no byte has been sent
    std::vector<std::uint64_t> unsent_calls() const;

    /// \returns whether frames wait to be written
    bool has_unsent() const
    {
        return !closed_ && queued_bytes_ > 0;
    }

    time_point last_received_at() const
    {
        return last_received_at_;
    }

private:
    struct queued_frame
    {
        std::string bytes;
        std::uint64_t correlation;  ///< of a call, otherwise 0
    };

    void write_queued();
    /// \returns whether the frame is compressed; makes the compressor when it is needed
    bool prepare_compression(const queued_frame &frame);
    void flush_compressed(std::string &batch);
    bool parse_input();
    bool parse_compressed_block(std::string_view content);
    bool dispatch_frame(const std::string &content);

    boost::asio::ip::tcp::socket socket_;
    handlers handlers_;
    std::string read_buffer_;
    std::vector<queued_frame> queued_;
    std::vector<std::string> writing_;
    bool between_zones_ = false;
    bool compresses_ = false;
    std::size_t uncompressed_bytes_ = 0;  ///< sent so far that could have been compressed
    std::optional<frame_compressor> compressor_;
    std::optional<frame_decompressor> decompressor_;
    std::size_t queued_bytes_ = 0;
    time_point last_received_at_;
    bool closed_ = false;
};

}  // namespace gullstall::edge

#endif
