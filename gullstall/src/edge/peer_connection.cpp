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

/// Bit of the last byte of a length that says that packed frames follow.
constexpr unsigned char packed_bit = 0x80;

/// Longer frames go as they are: they are bodies, which are mostly compressed
/// already, and packing 60 KB takes 1 ms of a whole core.
constexpr std::size_t largest_packed = 8192;

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
        if (!take_blocks()) {
            why = "unreadable frame";
            break;
        }
    }
    close(why);
}

bool peer_connection::take_blocks()
{
    std::size_t at = 0;
    while (in_.size() - at >= frame_prefix_bytes && !ended_) {
        std::string prefix = in_.substr(at, frame_prefix_bytes);
        bool is_packed = (static_cast<unsigned char>(prefix.back()) & packed_bit) != 0;
        prefix.back() = static_cast<char>(prefix.back() & ~packed_bit);
        result<std::size_t> length = decode_prefix(prefix);
        if (!succeeded(length)) {
            return false;
        }
        std::size_t end = at + frame_prefix_bytes + value_of(length);
        if (in_.size() < end) {
            break;
        }
        // A copy: tables are read in place and want their alignment.
        std::string content = in_.substr(at + frame_prefix_bytes, value_of(length));
        at = end;
        if (is_packed ? !take_packed(content) : !take_frame(content)) {
            return false;
        }
    }
    in_.erase(0, at);
    return true;
}

bool peer_connection::take_packed(std::string_view content)
{
    if (!unpacker_) {
        result<byte_unpacker> made = make_unpacker();
        if (!succeeded(made)) {
            return false;
        }
        unpacker_ = value_of(std::move(made));
    }
    result<std::string> frames = unpack_bytes(*unpacker_, content, max_frame_bytes);
    if (!succeeded(frames)) {
        return false;
    }
    std::string_view rest = value_of(frames);
    while (rest.size() >= frame_prefix_bytes && !ended_) {
        result<std::size_t> length = decode_prefix(rest.substr(0, frame_prefix_bytes));
        if (!succeeded(length) || rest.size() < frame_prefix_bytes + value_of(length)) {
            return false;  // a block holds whole frames
        }
        if (!take_frame(std::string(rest.substr(frame_prefix_bytes, value_of(length))))) {
            return false;
        }
        rest.remove_prefix(frame_prefix_bytes + value_of(length));
    }
    return rest.empty() || ended_;
}

bool peer_connection::take_frame(const std::string &content)
{
    result<mesh_wire::frame_message> frame = decode_frame_of<mesh_wire::frame>(content);
    if (!succeeded(frame)) {
        return false;
    }
    handlers_.arrived(std::move(value_of(frame)));
    return true;
}

void peer_connection::pack_from_now()
{
    result<byte_packer> made = make_packer();
    if (!succeeded(made)) {
        close(error_of(made).message);
        return;
    }
    packer_ = value_of(std::move(made));
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
    std::size_t n_queued = 0;
    std::string small;
    for (outgoing &it : queued_) {
        n_queued += it.bytes.size();
        if (packer_ && it.bytes.size() <= largest_packed) {
            small += it.bytes;
            continue;
        }
        write_packed(small);
        writing_.push_back(std::move(it.bytes));
    }
    write_packed(small);
    queued_.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(writing_.size());
    for (const std::string &it : writing_) {
        buffers.push_back(asio::buffer(it));
    }
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), n_queued](const error_code &ec, std::size_t) {
                          self->queued_bytes_ -= n_queued;
                          self->writing_.clear();
                          if (ec) {
                              self->close(ec.message());
                              return;
                          }
                          self->write_queued();
                      });
}

/// Packs the frames of \a small into one block, and empties it.
void peer_connection::write_packed(std::string &small)
{
    if (small.empty()) {
        return;
    }
    std::string content = pack_bytes(*packer_, small);
    std::string block = encode_prefix(content.size());
    block.back() = static_cast<char>(block.back() | packed_bit);
    writing_.push_back(block + content);
    small.clear();
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
