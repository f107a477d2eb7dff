#include "gullstall/src/edge/http_answer.hpp"

#include <array>
#include <chrono>
#include <cstdio>

namespace gullstall::edge {

namespace {

constexpr std::uint16_t unauthorized = 401;

/// \returns seconds with three decimals, the format used for Retry-After
std::string format_seconds(duration it)
{
    std::array<char, 32> out{};
    std::snprintf(out.data(), out.size(), "%.3f", std::chrono::duration<double>(it).count());
    return out.data();
}

const char *status_text(std::uint16_t status)
{
    switch (status) {
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 429:
            return "Too Many Requests";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "";
    }
}

}  // namespace

edge_answer http_error(std::uint16_t status)
{
    return edge_answer{status, status_text(status), "", {}};
}

edge_answer to_http_response(mesh::caller_answer &&it)
{
    if (it.from_upstream) {
        return edge_answer{it.status, std::move(it.status_text), std::move(it.header_lines),
                           std::move(it.body)};
    }
    edge_answer out = http_error(it.status);
    if (it.status == unauthorized) {
        out.header_lines = "WWW-Authenticate: Bearer\r\n";
    }
    if (it.retry_after) {
        out.header_lines += "Retry-After: " + format_seconds(*it.retry_after) + "\r\n";
    }
    return out;
}

}  // namespace gullstall::edge
