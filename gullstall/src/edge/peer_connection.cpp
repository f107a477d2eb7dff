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

/// Limit of the send queue of a peer that does not read, which keeps a slow peer from
/// exhausting the memory of a small instance.
constexpr std::size_t max_queued_bytes = 16U << 20U;

constexpr std::size_t read_bytes = 16384;

/// Flag in the last byte of the length prefix: the block holds compressed frames.
constexpr unsigned char compressed_bit = 0x80;

/// Larger frames are sent uncompressed: they carry bodies, which are mostly compressed
/// already, and compressing 60 KB takes 1 ms of a full core.
constexpr std::size_t max_compressed_frame_bytes = 8192;

/// Bytes of compressible frames that a connection carries before it is given a compressor,
/// which takes 100 KiB. Most connections between zones carry a greeting only.
constexpr std::size_t uncompressed_start_bytes = 2048;

}  // namespace

peer_connection::peer_connection(asio::ip::tcp::socket &&socket, handlers handlers)
    : socket_(std::move(socket)), handlers_(std::move(handlers)), last_received_at_(now())
{
    runtime::set_tcp_options(socket_);
    runtime::limit_unacknowledged_time(socket_, runtime::unacknowledged_limit);
}

asio::awaitable<void> peer_connection::run()
{
    auto self = shared_from_this();
    std::string why = "closed by peer";
    while (!closed_) {
        error_code ec;
        std::size_t before = read_buffer_.size();
        read_buffer_.resize(before + read_bytes);
        std::size_t n =
            co_await socket_.async_read_some(asio::buffer(read_buffer_.data() + before, read_bytes),
                                             asio::redirect_error(asio::use_awaitable, ec));
        read_buffer_.resize(before + n);
        if (ec) {
            why = ec.message();
            break;
        }
        last_received_at_ = now();
        if (!parse_input()) {
            why = "malformed frame";
            break;
        }
    }
    close(why);
}

bool peer_connection::parse_input()
{
    std::size_t at = 0;
    while (read_buffer_.size() - at >= frame_prefix_bytes && !closed_) {
        std::string prefix = read_buffer_.substr(at, frame_prefix_bytes);
        bool is_compressed = (static_cast<unsigned char>(prefix.back()) & compressed_bit) != 0;
        prefix.back() = static_cast<char>(prefix.back() & ~compressed_bit);
        result<std::size_t> length = decode_prefix(prefix);
        if (!succeeded(length)) {
            return false;
        }
        std::size_t end = at + frame_prefix_bytes + value_of(length);
        if (read_buffer_.size() < end) {
            break;
        }
        // Copied because tables are read in place and must be aligned.
        std::string content = read_buffer_.substr(at + frame_prefix_bytes, value_of(length));
        at = end;
        if (is_compressed ? !parse_compressed_block(content) : !dispatch_frame(content)) {
            return false;
        }
    }
    read_buffer_.erase(0, at);
    return true;
}

bool peer_connection::parse_compressed_block(std::string_view content)
{
    if (!decompressor_) {
        result<frame_decompressor> made = make_decompressor();
        if (!succeeded(made)) {
            return false;
        }
        decompressor_ = value_of(std::move(made));
    }
    result<std::string> frames = decompress_bytes(*decompressor_, content, max_frame_bytes);
    if (!succeeded(frames)) {
        return false;
    }
    std::string_view rest = value_of(frames);
    while (rest.size() >= frame_prefix_bytes && !closed_) {
        result<std::size_t> length = decode_prefix(rest.substr(0, frame_prefix_bytes));
        if (!succeeded(length) || rest.size() < frame_prefix_bytes + value_of(length)) {
            return false;  // a block holds complete frames only
        }
        if (!dispatch_frame(std::string(rest.substr(frame_prefix_bytes, value_of(length))))) {
            return false;
        }
        rest.remove_prefix(frame_prefix_bytes + value_of(length));
    }
    return rest.empty() || closed_;
}

bool peer_connection::dispatch_frame(const std::string &content)
{
    result<mesh_wire::frame_message> frame = decode_frame_of<mesh_wire::frame>(content);
    if (!succeeded(frame)) {
        return false;
    }
    handlers_.on_frame(std::move(value_of(frame)));
    return true;
}

bool peer_connection::send(std::string bytes, std::uint64_t correlation)
{
    if (closed_ || queued_bytes_ > max_queued_bytes) {
        return false;
    }
    queued_bytes_ += bytes.size();
    queued_.push_back(queued_frame{std::move(bytes), correlation});
    write_queued();
    return true;
}

bool peer_connection::prepare_compression(const queued_frame &frame)
{
    if (!compresses_ || frame.bytes.size() > max_compressed_frame_bytes) {
        return false;
    }
    uncompressed_bytes_ += compressor_ ? 0 : frame.bytes.size();
    if (!compressor_ && uncompressed_bytes_ > uncompressed_start_bytes) {
        result<frame_compressor> made = make_compressor();
        compresses_ = succeeded(made);  // the frames are whole without compression, too
        if (compresses_) {
            compressor_ = value_of(std::move(made));
        }
    }
    return compressor_.has_value();
}

void peer_connection::write_queued()
{
    if (!writing_.empty() || queued_.empty() || closed_) {
        return;
    }
    std::size_t n_queued = 0;
    std::string batch;
    for (queued_frame &it : queued_) {
        n_queued += it.bytes.size();
        if (prepare_compression(it)) {
            batch += it.bytes;
            continue;
        }
        flush_compressed(batch);
        writing_.push_back(std::move(it.bytes));
    }
    flush_compressed(batch);
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

/// Compresses the frames of \a batch into one block and clears it.
void peer_connection::flush_compressed(std::string &batch)
{
    if (batch.empty()) {
        return;
    }
    std::string content = compress_bytes(*compressor_, batch);
    std::string block = encode_prefix(content.size());
    block.back() = static_cast<char>(block.back() | compressed_bit);
    writing_.push_back(block + content);
    batch.clear();
}

std::vector<std::uint64_t> peer_connection::unsent_calls() const
{
    std::vector<std::uint64_t> out;
    for (const queued_frame &it : queued_) {
        if (it.correlation != 0) {
            out.push_back(it.correlation);
        }
    }
    return out;
}

void peer_connection::close(const std::string &why)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    error_code ec;
    socket_.close(ec);
    handlers_.on_closed(why);
}

}  // namespace gullstall::edge
