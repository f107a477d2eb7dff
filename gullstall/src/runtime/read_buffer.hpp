#ifndef GULLSTALL_RUNTIME_READ_BUFFER_HPP
#define GULLSTALL_RUNTIME_READ_BUFFER_HPP

#include <cstddef>

namespace gullstall::runtime {

/// Bytes that one read takes at most.
inline constexpr std::size_t max_read_bytes = 65536;

/// \returns the largest size of a read buffer, in bytes. A parser leaves there what is not
/// complete, and limits headers and bodies itself, but neither the extensions of a chunk nor
/// trailers.
constexpr std::size_t read_buffer_limit(std::size_t header_bytes)
{
    return header_bytes + max_read_bytes;
}

}  // namespace gullstall::runtime

#endif
