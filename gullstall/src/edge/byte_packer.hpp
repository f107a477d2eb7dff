#ifndef GULLSTALL_EDGE_BYTE_PACKER_HPP
#define GULLSTALL_EDGE_BYTE_PACKER_HPP

#include <memory>
#include <string>
#include <string_view>

#include "gullstall/src/core/result.hpp"

struct z_stream_s;

namespace gullstall::edge {

/// Ends a zlib stream and frees it.
struct end_deflate
{
    void operator()(z_stream_s *it) const;
};
struct end_inflate
{
    void operator()(z_stream_s *it) const;
};

/// Compression of all that one side of a connection sends. Frames repeat the
/// names of routes, services and header fields, so that what went before makes
/// the next one small.
struct byte_packer
{
    std::unique_ptr<z_stream_s, end_deflate> stream;
};

/// The other side of a byte_packer.
struct byte_unpacker
{
    std::unique_ptr<z_stream_s, end_inflate> stream;
};

/// \returns a packer with an empty history, or unavailable without memory
result<byte_packer> make_packer();
result<byte_unpacker> make_unpacker();

/// \returns \a bytes compressed, complete in itself given all that was packed
/// before
std::string pack_bytes(byte_packer &it, std::string_view bytes);

/// \param most bytes that the result may have
/// \returns what was packed, bad_syntax for bytes that no packer made, or
/// too_large
result<std::string> unpack_bytes(byte_unpacker &it, std::string_view bytes, std::size_t most);

}  // namespace gullstall::edge

#endif
