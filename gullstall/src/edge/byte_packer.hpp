#ifndef GULLSTALL_EDGE_BYTE_PACKER_HPP
#define GULLSTALL_EDGE_BYTE_PACKER_HPP

#include <memory>
#include <string>
#include <string_view>

#include "gullstall/src/core/result.hpp"

struct z_stream_s;

namespace gullstall::edge {

/// Deleters that end a zlib stream and free it.
struct deflate_deleter
{
    void operator()(z_stream_s *it) const;
};
struct inflate_deleter
{
    void operator()(z_stream_s *it) const;
};

/// Deflate stream for all frames sent in one direction of a connection. Frames repeat
/// the names of routes, services and header fields, so that a shared history
/// compresses them well.
struct frame_compressor
{
    std::unique_ptr<z_stream_s, deflate_deleter> stream;
};

/// The receiving side of a frame_compressor.
struct frame_decompressor
{
    std::unique_ptr<z_stream_s, inflate_deleter> stream;
};

/// \returns a compressor with an empty history, or error_code::unavailable when out of
/// memory
result<frame_compressor> make_compressor();
result<frame_decompressor> make_decompressor();

/// \returns \a bytes compressed and flushed, so that they can be decompressed given
/// all preceding output
std::string compress_bytes(frame_compressor &it, std::string_view bytes);

/// \param max_bytes limit of the decompressed size
/// \returns the decompressed bytes, error_code::bad_syntax for invalid input, or
/// error_code::too_large
result<std::string> decompress_bytes(frame_decompressor &it, std::string_view bytes,
                                     std::size_t max_bytes);

}  // namespace gullstall::edge

#endif
