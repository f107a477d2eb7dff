#include "gullstall/src/suspects/request_signature.hpp"

#include <array>
#include <cstring>

#include "gullstall/src/core/hex.hpp"
#include "gullstall/src/core/siphash.hpp"

namespace gullstall {

request_signature signature_of(const request_content &it)
{
    // The lengths keep apart fields that are equal when concatenated.
    std::array<std::uint64_t, 7> sizes{
        it.service.size(),  it.route.size(),  it.caller_service.size(),
        it.customer.size(), it.method.size(), it.target.size(),
        it.body.size()};
    std::string_view lengths(reinterpret_cast<const char *>(sizes.data()),
                             sizes.size() * sizeof(sizes[0]));
    std::array<std::string_view, 8> parts{lengths,     it.service, it.route,  it.caller_service,
                                          it.customer, it.method,  it.target, it.body};
    std::array<std::uint8_t, sizeof(std::uint64_t)> bytes{};
    compute_siphash(siphash_key{}, parts, bytes);
    std::uint64_t out = 0;
    std::memcpy(&out, bytes.data(), sizeof(out));
    return request_signature{out};
}

std::string print_signature(request_signature it)
{
    auto value = static_cast<std::uint64_t>(it);
    std::string bytes(sizeof(value), '\0');
    std::memcpy(bytes.data(), &value, sizeof(value));
    return to_hex(bytes);
}

result<request_signature> parse_signature(std::string_view text)
{
    std::uint64_t value = 0;
    result<std::string> bytes = from_hex(text);
    if (!succeeded(bytes) || value_of(bytes).size() != sizeof(value)) {
        return error{error_code::bad_syntax, "'" + std::string(text) + "' is no signature"};
    }
    std::memcpy(&value, value_of(bytes).data(), sizeof(value));
    return request_signature{value};
}

}  // namespace gullstall
