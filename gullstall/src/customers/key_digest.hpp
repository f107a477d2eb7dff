#ifndef GULLSTALL_CUSTOMERS_KEY_DIGEST_HPP
#define GULLSTALL_CUSTOMERS_KEY_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gullstall {

/// Keyed hash of an API key. Without the secret neither the key nor the digest of another
/// key can be derived from it, so that the time of a lookup reveals nothing about the keys.
using key_digest = std::array<std::uint8_t, 16>;

/// Secret of the digests of one process.
struct digest_secret
{
    std::array<std::uint8_t, 16> bytes{};

    bool operator==(const digest_secret &) const = default;
};

/// \returns a secret from the system's random source
digest_secret draw_digest_secret();

/// \returns the SipHash-2-4 of \a key under \a secret
key_digest digest_of(const digest_secret &secret, std::string_view key);

/// Hash for containers: a digest is uniformly distributed already.
struct key_digest_hash
{
    std::size_t operator()(const key_digest &it) const;
};

}  // namespace gullstall

#endif
