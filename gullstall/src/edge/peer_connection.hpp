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

/// A framed connection between two nodes, whoever opened it.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    /// Who takes the frames of a connection.
    struct handlers
    {
        std::function<void(mesh_wire::frame_message &&)> arrived;
        std::function<void(const std::string &why)> ended;
    };

    peer_connection(boost::asio::ip::tcp::socket &&socket, handlers handlers);

    /// For a handler that needs to know the connection itself.
    void set_handlers(handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    /// Reads frames until the connection ends.
    boost::asio::awaitable<void> run();

    /// Packs all frames that are sent from now on. For connections between
    /// availability zones, whose bytes are paid for: the frames of calls shrink to
    /// a fifth. Whether a frame is packed is told with it.
    void pack_from_now();

    /// Queues a frame.
    /// \returns false when the other side reads too slowly and the frame was
    /// not taken
    bool send(const mesh_wire::frame_message &frame);

    /// Ends the connection; `ended` is told once.
    void close(const std::string &why);

    /// \returns correlations of the calls of which no byte has left
    std::vector<std::uint64_t> unsent_calls() const;

    time_point heard_at() const
    {
        return heard_at_;
    }

private:
    struct outgoing
    {
        std::string bytes;
        std::uint64_t correlation;  ///< of a call, else 0
    };

    void write_queued();
    void write_packed(std::string &small);
    bool take_blocks();
    bool take_packed(std::string_view content);
    bool take_frame(const std::string &content);

    boost::asio::ip::tcp::socket socket_;
    handlers handlers_;
    std::string in_;
    std::vector<outgoing> queued_;
    std::vector<std::string> writing_;
    std::optional<byte_packer> packer_;
    std::optional<byte_unpacker> unpacker_;
    std::size_t queued_bytes_ = 0;
    time_point heard_at_;
    bool ended_ = false;
};

}  // namespace gullstall::edge

#endif
