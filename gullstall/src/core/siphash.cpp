#include "gullstall/src/core/siphash.hpp"

#include <openssl/core_names.h>
#include <openssl/evp.h>

#include <memory>
#include <stdexcept>

namespace gullstall {

namespace {

void check(bool succeeded)
{
    if (!succeeded) {
        throw std::runtime_error("OpenSSL cannot compute a SipHash");
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

void compute_siphash(const siphash_key &key, std::span<const std::string_view> parts,
                     std::span<std::uint8_t> out)
{
    std::size_t size = out.size();
    std::array<OSSL_PARAM, 2> params{OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
                                     OSSL_PARAM_construct_end()};
    std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(EVP_MAC_CTX_new(siphash()),
                                                                      &EVP_MAC_CTX_free);
    check(context != nullptr);
    check(EVP_MAC_init(context.get(), key.data(), key.size(), params.data()) == 1);
    for (std::string_view it : parts) {
        const auto *bytes = reinterpret_cast<const unsigned char *>(it.data());
        check(it.empty() || EVP_MAC_update(context.get(), bytes, it.size()) == 1);
    }
    check(EVP_MAC_final(context.get(), out.data(), &size, out.size()) == 1 && size == out.size());
}

}  // namespace gullstall
