#include "gullstall/src/customers/key_digest.hpp"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <cstring>
#include <memory>
#include <stdexcept>

namespace gullstall {

namespace {

void check(bool succeeded)
{
    if (!succeeded) {
        throw std::runtime_error("OpenSSL cannot compute the digest of an API key");
    }
}

EVP_MAC *siphash()
{
    static const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> it(
        EVP_MAC_fetch(nullptr, "SIPHASH", nullptr), &EVP_MAC_free);
    check(it != nullptr);
    return it.get();
}

}  // namespace

digest_secret draw_digest_secret()
{
    digest_secret out;
    check(RAND_bytes(out.bytes.data(), static_cast<int>(out.bytes.size())) == 1);
    return out;
}

key_digest digest_of(const digest_secret &secret, std::string_view key)
{
    key_digest out{};
    std::size_t size = out.size();
    std::array<OSSL_PARAM, 2> params{OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
                                     OSSL_PARAM_construct_end()};
    std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(EVP_MAC_CTX_new(siphash()),
                                                                      &EVP_MAC_CTX_free);
    check(context != nullptr);
    check(EVP_MAC_init(context.get(), secret.bytes.data(), secret.bytes.size(), params.data()) ==
          1);
    const auto *bytes = reinterpret_cast<const unsigned char *>(key.data());
    check(EVP_MAC_update(context.get(), bytes, key.size()) == 1);
    check(EVP_MAC_final(context.get(), out.data(), &size, out.size()) == 1 && size == out.size());
    return out;
}

std::size_t key_digest_hash::operator()(const key_digest &it) const
{
    std::size_t out = 0;
    std::memcpy(&out, it.data(), sizeof(out));
    return out;
}

}  // namespace gullstall
