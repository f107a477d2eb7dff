#ifndef GULLSTALL_CORE_DIGITS_HPP
#define GULLSTALL_CORE_DIGITS_HPP

#include <charconv>
#include <optional>
#include <string_view>
#include <type_traits>

namespace gullstall {

/// Parses an unsigned decimal number.
/// \returns none for anything but digits, and for numbers that \a Number can't hold
template <class Number>
std::optional<Number> parse_digits(std::string_view text)
{
    static_assert(std::is_unsigned_v<Number>, "a sign is not accepted");
    Number out{};
    const char *end = text.data() + text.size();
    auto [at, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && at == end ? std::optional(out) : std::nullopt;
}

}  // namespace gullstall

#endif
