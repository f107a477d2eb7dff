#include "gullstall/src/once/key.hpp"

#include <charconv>

namespace gullstall {

namespace {

constexpr char separator = '~';
constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t time_high_digits = 8;
constexpr std::size_t time_low_digits = 4;
constexpr int hexadecimal = 16;
constexpr int decimal = 10;

std::optional<std::uint64_t> parse_number(std::string_view text, int base)
{
    std::uint64_t n = 0;
    const char *end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, n, base);
    if (ec != std::errc() || rest != end) {
        return std::nullopt;
    }
    return n;
}

/// Cuts the number after the last separator off \a text.
std::optional<std::uint64_t> cut_number(std::string_view &text)
{
    std::size_t at = text.rfind(separator);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    auto n = parse_number(text.substr(at + 1), decimal);
    text = text.substr(0, at);
    return n;
}

bool has_uuid_shape(std::string_view key)
{
    constexpr std::string_view dashes_at{"\x08\x0d\x12\x17"};
    if (key.size() != uuid_length) {
        return false;
    }
    for (char at : dashes_at) {
        if (key[static_cast<std::size_t>(at)] != '-') {
            return false;
        }
    }
    return key.find_first_not_of("0123456789abcdefABCDEF-") == std::string_view::npos;
}

}  // namespace

std::string print_issued_key(const issued_key &it)
{
    return std::string(issued_key_prefix) + it.instance + separator +
           std::to_string(it.incarnation) + separator + std::to_string(it.number) + separator +
           std::to_string(it.issued_at.time_since_epoch().count());
}

bool is_issued_key(std::string_view key)
{
    return key.substr(0, issued_key_prefix.size()) == issued_key_prefix;
}

std::optional<issued_key> parse_issued_key(std::string_view key)
{
    if (!is_issued_key(key)) {
        return std::nullopt;
    }
    key.remove_prefix(issued_key_prefix.size());
    auto issued_us = cut_number(key);
    auto number = cut_number(key);
    auto incarnation = cut_number(key);
    if (!issued_us || !number || !incarnation || key.empty()) {
        return std::nullopt;
    }
    return issued_key{std::string(key), *incarnation, *number,
                      time_point(duration(static_cast<std::int64_t>(*issued_us)))};
}

std::optional<time_point> time_of_chosen_key(std::string_view key)
{
    if (!has_uuid_shape(key) || key[version_position] != '7') {
        return std::nullopt;
    }
    std::string digits(key.substr(0, time_high_digits));
    digits += key.substr(time_high_digits + 1, time_low_digits);
    auto ms = parse_number(digits, hexadecimal);
    if (!ms) {
        return std::nullopt;
    }
    return time_point(milliseconds(static_cast<std::int64_t>(*ms)));
}

}  // namespace gullstall
