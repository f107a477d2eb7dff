#include "gullstall/src/edge/peer_connection.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "gullstall/src/edge/clock.hpp"
#include "gullstall/src/runtime/tcp_options.hpp"
#include "gullstall/src/wire/frame_codec.hpp"

namespace gullstall::edge {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Bytes that may wait for a peer that does not read: more would fill the
/// memory of an instance that has little of it.
constexpr std::size_t max_queued_bytes = 16U << 20U;

constexpr std::size_t read_bytes = 16384;

std::uint64_t correlation_of(const mesh_wire::frame_message &frame)
{
    const mesh_wire::call_message *call = frame.payload.Ascall();
    return call == nullptr ? 0 : call->correlation;
}

}  // namespace

peer_connection::peer_connection(asio::ip::tcp::socket &&socket, handlers handlers)
    : socket_(std::move(socket)), handlers_(std::move(handlers)), heard_at_(now())
{
    runtime::set_tcp_options(socket_);
}

asio::awaitable<void> peer_connection::run()
{
    auto self = shared_from_this();
    std::string why = "closed by the other side";
    while (!ended_) {
        error_code ec;
        std::size_t before = in_.size();
        in_.resize(before + read_bytes);
        std::size_t n =
            co_await socket_.async_read_some(asio::buffer(in_.data() + before, read_bytes),
                                             asio::redirect_error(asio::use_awaitable, ec));
        in_.resize(before + n);
        if (ec) {
            why = ec.message();
            break;
        }
        heard_at_ = now();
        if (!take_frames()) {
            why = "unreadable frame";
            break;
        }
    }
    close(why);
}

bool peer_connection::take_frames()
{
    std::size_t at = 0;
    while (in_.size() - at >= frame_prefix_bytes && !ended_) {
        std::string_view rest = std::string_view(in_).substr(at);
        result<std::size_t> length = decode_prefix(rest.substr(0, frame_prefix_bytes));
        if (!succeeded(length)) {
            return false;
        }
        if (rest.size() < frame_prefix_bytes + value_of(length)) {
            break;
        }
        // A copy: tables are read in place and want their alignment.
        std::string bytes(rest.substr(frame_prefix_bytes, value_of(length)));
        result<mesh_wire::frame_message> frame = decode_frame_of<mesh_wire::frame>(bytes);
        if (!succeeded(frame)) {
            return false;
        }
        at += frame_prefix_bytes + value_of(length);
        handlers_.arrived(std::move(value_of(frame)));
    }
    in_.erase(0, at);
    return true;
}

bool peer_connection::send(const mesh_wire::frame_message &frame)
{
    if (ended_ || queued_bytes_ > max_queued_bytes) {
        return false;
    }
    std::string bytes = encode_frame_of<mesh_wire::frame>(frame);
    queued_bytes_ += bytes.size();
    queued_.push_back(outgoing{std::move(bytes), correlation_of(frame)});
    write_queued();
    return true;
}

void peer_connection::write_queued()
{
    if (!writing_.empty() || queued_.empty() || ended_) {
        return;
    }
    std::swap(writing_, queued_);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const outgoing &it : writing_) {
        buffers.push_back(asio::buffer(it.bytes));
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](const error_code &ec, std::size_t n) {
                          self->queued_bytes_ -= std::min(n, self->queued_bytes_);
                          self->writing_.clear();
                          if (ec) {
                              self->close(ec.message());
                              return;
                          }
                          self->write_queued();
                      });
}

std::vector<std::uint64_t> peer_connection::unsent_calls() const
{
    std::vector<std::uint64_t> out;
    for (const outgoing &it : queued_) {
        if (it.correlation != 0) {
            out.push_back(it.correlation);
        }
    }
    return out;
}

void peer_connection::close(const std::string &why)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    error_code ec;
    socket_.close(ec);
    handlers_.ended(why);
}

}  // namespace gullstall::edge
