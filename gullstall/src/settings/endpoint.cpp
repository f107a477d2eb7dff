#include "gullstall/src/settings/endpoint.hpp"

#include <arpa/inet.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include "gullstall/src/core/digits.hpp"

namespace gullstall {

bool is_address(const std::string &text)
{
    in6_addr bytes{};
    return inet_pton(AF_INET, text.c_str(), &bytes) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &bytes) == 1;
}

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
    std::vector<std::string> out;
    for (std::string &it : parts) {
        boost::algorithm::trim(it);
        if (!it.empty()) {
            out.push_back(it);
        }
    }
    return out;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    std::string it(text);
    std::size_t colon = it.rfind(':');
    std::optional<std::uint16_t> port;
    if (colon != std::string::npos && is_address(it.substr(0, colon))) {
        port = parse_digits<std::uint16_t>(text.substr(colon + 1));
    }
    if (!port || *port == 0) {
        return error{error_code::wrong_type, "found '" + it + "', expected IP number:port"};
    }
    return endpoint{it.substr(0, colon), *port};
}

result<std::vector<endpoint>> parse_endpoints(std::string_view text)
{
    std::vector<endpoint> out;
    for (const std::string &it : split_list(text)) {
        result<endpoint> read = parse_endpoint(it);
        if (!succeeded(read)) {
            return error_of(read);
        }
        out.push_back(value_of(std::move(read)));
    }
    return out;
}

std::string print_endpoint(const endpoint &it)
{
    return it.address + ":" + std::to_string(it.port);
}

}  // namespace gullstall
