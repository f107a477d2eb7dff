#ifndef GULLSTALL_RUNTIME_READ_BUFFER_HPP
#define GULLSTALL_RUNTIME_READ_BUFFER_HPP

#include <cstddef>

namespace gullstall::runtime {

/// Bytes that one read takes at most.
inline constexpr std::size_t max_read_bytes = 65536;

/// \returns the largest size of a read buffer, in bytes. A parser leaves there what is not
/// complete: a header, the extensions of a chunk or a trailer. Its own limits are those of
/// headers and bodies; without this one, a chunk's extensions may grow without end.
constexpr std::size_t read_buffer_limit(std::size_t header_bytes)
{
    return header_bytes + max_read_bytes;
}

}  // namespace gullstall::runtime

#endif
