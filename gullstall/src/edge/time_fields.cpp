#include "gullstall/src/edge/time_fields.hpp"

#include <algorithm>
#include <cstdint>

#include "gullstall/src/core/digits.hpp"

namespace gullstall::edge {

namespace {

constexpr seconds max_time = std::chrono::hours(24);

/// \returns the number of \a Unit that \a digits say, max_time for more
template <class Unit>
std::optional<duration> parse_time(std::string_view digits)
{
    if (digits.empty() || digits.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
    }
    constexpr auto most = static_cast<std::uint64_t>(Unit(max_time).count());
    std::uint64_t n = parse_digits<std::uint64_t>(digits).value_or(most);
    return Unit(static_cast<std::int64_t>(std::min(n, most)));
}

}  // namespace

std::optional<duration> parse_time_left(std::string_view text)
{
    if (!text.empty() && text.front() == '-') {
        return parse_time<milliseconds>(text.substr(1)) ? std::optional(duration{}) : std::nullopt;
    }
    return parse_time<milliseconds>(text);
}

std::optional<duration> parse_keep_alive_timeout(std::string_view text)
{
    constexpr std::string_view name = "timeout=";
    std::size_t at = text.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view digits = text.substr(at + name.size());
    return parse_time<seconds>(digits.substr(0, digits.find_first_not_of("0123456789")));
}

}  // namespace gullstall::edge
