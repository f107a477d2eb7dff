#ifndef GULLSTALL_CORE_HEX_HPP
#define GULLSTALL_CORE_HEX_HPP

#include <string>
#include <string_view>

#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// \returns \a bytes as lower-case hexadecimal digits
std::string to_hex(std::string_view bytes);

/// \returns the bytes that \a digits stand for, or bad_syntax
result<std::string> from_hex(std::string_view digits);

}  // namespace gullstall

#endif
