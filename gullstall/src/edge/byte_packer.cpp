#include "gullstall/src/edge/byte_packer.hpp"

#include <zlib.h>

#include <array>

namespace gullstall::edge {

namespace {

/// Distance over which repetitions are found: 8 KiB hold the last twenty frames
/// or so. With the memory level below a connection takes 100 KiB at its sender
/// and 20 KiB at its receiver, 14 MiB for links to 57 nodes of other zones.
constexpr int window_bits = 13;
constexpr int memory_level = 7;

/// Without a stream header and a checksum: TCP has one, and frames are verified.
constexpr int raw_window = -window_bits;

/// End of each flushed block. It is the same every time and is not sent.
constexpr std::string_view flush_mark("\x00\x00\xff\xff", 4);

constexpr std::size_t chunk_bytes = 16384;

Bytef *input_of(std::string_view bytes)
{
    // zlib does not write to its input, its interface only lacks the const.
    return reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
}

}  // namespace

void end_deflate::operator()(z_stream_s *it) const
{
    deflateEnd(it);
    delete it;
}

void end_inflate::operator()(z_stream_s *it) const
{
    inflateEnd(it);
    delete it;
}

result<byte_packer> make_packer()
{
    auto stream = std::make_unique<z_stream>();
    int rc = deflateInit2(stream.get(), Z_BEST_SPEED, Z_DEFLATED, raw_window, memory_level,
                          Z_DEFAULT_STRATEGY);
    if (rc != Z_OK) {
        return error{error_code::unavailable, "no memory to pack a connection's frames"};
    }
    byte_packer out;
    out.stream.reset(stream.release());
    return out;
}

result<byte_unpacker> make_unpacker()
{
    auto stream = std::make_unique<z_stream>();
    if (inflateInit2(stream.get(), raw_window) != Z_OK) {
        return error{error_code::unavailable, "no memory to unpack a connection's frames"};
    }
    byte_unpacker out;
    out.stream.reset(stream.release());
    return out;
}

std::string pack_bytes(byte_packer &it, std::string_view bytes)
{
    std::string out;
    if (bytes.empty()) {
        return out;  // zlib flushes nothing when nothing is new
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
    if (out.ends_with(flush_mark)) {
        out.resize(out.size() - flush_mark.size());
    }
    return out;
}

result<std::string> unpack_bytes(byte_unpacker &it, std::string_view bytes, std::size_t most)
{
    std::string out;
    if (bytes.empty()) {
        return out;
    }
    z_stream &stream = *it.stream;
    std::array<char, chunk_bytes> chunk;
    std::string whole(bytes);
    whole += flush_mark;
    stream.next_in = input_of(whole);
    stream.avail_in = static_cast<uInt>(whole.size());
    do {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = chunk_bytes;
        int rc = inflate(&stream, Z_SYNC_FLUSH);
        if (rc != Z_OK && rc != Z_BUF_ERROR) {
            return error{error_code::bad_syntax, "packed bytes can't be read"};
        }
        out.append(chunk.data(), chunk_bytes - stream.avail_out);
        if (out.size() > most) {
            return error{error_code::too_large, "packed bytes hold too much"};
        }
    } while (stream.avail_out == 0);
    return out;
}

}  // namespace gullstall::edge
