#include "gullstall/src/customers/key_digest.hpp"

#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

#include "gullstall/src/core/siphash.hpp"

namespace gullstall {

digest_secret draw_digest_secret()
{
    digest_secret out;
    if (RAND_bytes(out.bytes.data(), static_cast<int>(out.bytes.size())) != 1) {
        throw std::runtime_error("OpenSSL has no random bytes");
    }
    return out;
}

key_digest digest_of(const digest_secret &secret, std::string_view key)
{
    key_digest out{};
    compute_siphash(secret.bytes, std::span(&key, 1), out);
    return out;
}

std::size_t key_digest_hash::operator()(const key_digest &it) const
{
    std::size_t out = 0;
    std::memcpy(&out, it.data(), sizeof(out));
    return out;
}

}  // namespace gullstall
