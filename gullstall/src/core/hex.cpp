#include "gullstall/src/core/hex.hpp"

#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace gullstall {

std::string to_hex(std::string_view bytes)
{
    std::string out;
    out.reserve(bytes.size() * 2);
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(out));
    return out;
}

result<std::string> from_hex(std::string_view digits)
{
    std::string out;
    out.reserve(digits.size() / 2);
    try {
        boost::algorithm::unhex(digits.begin(), digits.end(), std::back_inserter(out));
    } catch (const boost::algorithm::hex_decode_error &) {
        return error{error_code::bad_syntax, "not a string of hexadecimal digit pairs"};
    }
    return out;
}

}  // namespace gullstall
