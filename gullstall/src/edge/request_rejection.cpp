#include "gullstall/src/edge/request_rejection.hpp"

#include <boost/beast/http/error.hpp>
#include <iterator>

namespace gullstall::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

std::optional<rejection> rejection_for(const error_code &ec)
{
    if (ec == http::error::body_limit) {
        return rejection{413, "Payload Too Large"};
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return rejection{431, "Request Header Fields Too Large"};
    }
    bool is_protocol = ec.category() == http::make_error_code(http::error::bad_method).category();
    if (!is_protocol || ec == http::error::end_of_stream || ec == http::error::partial_message) {
        return std::nullopt;
    }
    return rejection{400, "Bad Request"};
}

bool is_ambiguous(const http::fields &fields)
{
    auto count = [&](http::field name) {
        auto range = fields.equal_range(name);
        return std::distance(range.first, range.second);
    };
    return (count(http::field::transfer_encoding) > 0 && count(http::field::content_length) > 0) ||
           count(http::field::content_length) > 1 || count(http::field::host) > 1;
}

}  // namespace gullstall::edge
