#ifndef GULLSTALL_CORE_HASH_HPP
#define GULLSTALL_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace gullstall {

/// 64-bit hash of \a text (FNV-1a with a final mix). It is the same in every
/// process and release: ranks of requests depend on it.
constexpr std::uint64_t hash_text(std::string_view text)
{
    constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t h = offset_basis;
    for (char c : text) {
        h ^= static_cast<unsigned char>(c);
        h *= prime;
    }
    h ^= h >> 33U;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33U;
    return h;
}

}  // namespace gullstall

#endif
