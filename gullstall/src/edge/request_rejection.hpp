#ifndef GULLSTALL_EDGE_REQUEST_REJECTION_HPP
#define GULLSTALL_EDGE_REQUEST_REJECTION_HPP

#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <optional>

namespace gullstall::edge {

/// Status line of the error response to a request that can't be parsed.
struct rejection
{
    std::uint16_t status;
    const char *text;
};

/// \returns the error response to a request that can't be parsed, or none when the
/// client has closed the connection
std::optional<rejection> rejection_for(const boost::system::error_code &ec);

/// \returns whether the header has conflicting body lengths or several Host fields,
/// which allow request smuggling to a server behind this one
bool is_ambiguous(const boost::beast::http::fields &fields);

}  // namespace gullstall::edge

#endif
