#ifndef GULLSTALL_SETTINGS_ENDPOINT_HPP
#define GULLSTALL_SETTINGS_ENDPOINT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// Address of a process: an IP number and a TCP port.
struct endpoint
{
    std::string address;
    std::uint16_t port;

    bool operator==(const endpoint &) const = default;
};

/// \returns whether \a text is an IP number
bool is_address(const std::string &text);

/// \returns the parts of \a text between commas, without blanks around them and
/// without empty ones
std::vector<std::string> split_list(std::string_view text);

/// Reads "address:port".
result<endpoint> parse_endpoint(std::string_view text);

/// Reads "address:port, address:port".
result<std::vector<endpoint>> parse_endpoints(std::string_view text);

/// \returns \a it as "address:port"
std::string print_endpoint(const endpoint &it);

}  // namespace gullstall

#endif
