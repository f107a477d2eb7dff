#ifndef GULLSTALL_SUSPECTS_REQUEST_SIGNATURE_HPP
#define GULLSTALL_SUSPECTS_REQUEST_SIGNATURE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Hash of all that an upstream knows of a request but its id and its deadline. Requests
/// with equal signatures make an upstream do the same.
enum class request_signature : std::uint64_t
{
};

/// The content that a signature is computed from.
struct request_content
{
    std::string_view service;  ///< that runs the request
    std::string_view route;
    std::string_view caller_service;
    std::string_view customer;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// \returns the signature, the same in every process and release
request_signature signature_of(const request_content &it);

/// \returns the signature as 16 hexadecimal digits
std::string print_signature(request_signature it);

/// Parses what print_signature returns.
/// \returns the signature, or bad_syntax
result<request_signature> parse_signature(std::string_view text);

}  // namespace gullstall

#endif
