#ifndef GULLSTALL_CORE_SIPHASH_HPP
#define GULLSTALL_CORE_SIPHASH_HPP

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace gullstall {

using siphash_key = std::array<std::uint8_t, 16>;

/// Computes the SipHash-2-4 of the concatenated \a parts with OpenSSL.
/// \param out receives the hash; 8 or 16 bytes
void compute_siphash(const siphash_key &key, std::span<const std::string_view> parts,
                     std::span<std::uint8_t> out);

}  // namespace gullstall

#endif
