#include "gullstall/src/edge/byte_packer.hpp"

#include <zlib.h>

#include <array>

namespace gullstall::edge {

namespace {

/// An 8 KiB window holds about the last twenty frames. With the memory level below, a
/// connection takes 100 KiB at the sender and 20 KiB at the receiver, or 14 MiB for
/// connections to 57 nodes of other zones.
constexpr int window_bits = 13;
constexpr int memory_level = 7;

/// Raw deflate without header and checksum: TCP has a checksum, and frames are
/// verified.
constexpr int raw_window_bits = -window_bits;

/// Trailer of each sync-flushed block. It is constant and is not sent.
constexpr std::string_view sync_flush_trailer("\x00\x00\xff\xff", 4);

constexpr std::size_t chunk_bytes = 16384;

Bytef *input_of(std::string_view bytes)
{
    // zlib does not modify its input; its API merely lacks the const.
    return reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
}

}  // namespace

void deflate_deleter::operator()(z_stream_s *it) const
{
    deflateEnd(it);
    delete it;
}

void inflate_deleter::operator()(z_stream_s *it) const
{
    inflateEnd(it);
    delete it;
}

result<frame_compressor> make_compressor()
{
    auto stream = std::make_unique<z_stream>();
    int rc = deflateInit2(stream.get(), Z_BEST_SPEED, Z_DEFLATED, raw_window_bits, memory_level,
                          Z_DEFAULT_STRATEGY);
    if (rc != Z_OK) {
        return error{error_code::unavailable, "out of memory for the frame compressor"};
    }
    frame_compressor out;
    out.stream.reset(stream.release());
    return out;
}

result<frame_decompressor> make_decompressor()
{
    auto stream = std::make_unique<z_stream>();
    if (inflateInit2(stream.get(), raw_window_bits) != Z_OK) {
        return error{error_code::unavailable, "out of memory for the frame decompressor"};
    }
    frame_decompressor out;
    out.stream.reset(stream.release());
    return out;
}

std::string compress_bytes(frame_compressor &it, std::string_view bytes)
{
    std::string out;
    if (bytes.empty()) {
        return out;  // zlib does not flush when there is no new input
    }
    z_stream &stream = *it.stream;
    std::array<char, chunk_bytes> chunk;
    stream.next_in = input_of(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    do {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = chunk_bytes;
        deflate(&stream, Z_SYNC_FLUSH);
        out.append(chunk.data(), chunk_bytes - stream.avail_out);
    } while (stream.avail_out == 0);
    if (out.ends_with(sync_flush_trailer)) {
        out.resize(out.size() - sync_flush_trailer.size());
    }
    return out;
}

result<std::string> decompress_bytes(frame_decompressor &it, std::string_view bytes,
                                     std::size_t max_bytes)
{
    std::string out;
    if (bytes.empty()) {
        return out;
    }
    z_stream &stream = *it.stream;
    std::array<char, chunk_bytes> chunk;
    std::string whole(bytes);
    whole += sync_flush_trailer;
    stream.next_in = input_of(whole);
    stream.avail_in = static_cast<uInt>(whole.size());
    do {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = chunk_bytes;
        int rc = inflate(&stream, Z_SYNC_FLUSH);
        if (rc != Z_OK && rc != Z_BUF_ERROR) {
            return error{error_code::bad_syntax, "invalid compressed data"};
        }
        out.append(chunk.data(), chunk_bytes - stream.avail_out);
        if (out.size() > max_bytes) {
            return error{error_code::too_large, "decompressed data exceeds the limit"};
        }
    } while (stream.avail_out == 0);
    return out;
}

}  // namespace gullstall::edge
