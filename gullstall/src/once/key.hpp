#ifndef GULLSTALL_ONCE_KEY_HPP
#define GULLSTALL_ONCE_KEY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gullstall/src/core/time.hpp"

namespace gullstall {

/// Beginning of every key that a node issues; no chosen key may begin with it.
inline constexpr std::string_view issued_key_prefix = "issued~";

/// A key that a node issued: it runs only at that node, in that incarnation.
struct issued_key
{
    std::string instance;
    std::uint64_t incarnation;
    std::uint64_t number;  ///< counts the keys of the incarnation
    time_point issued_at;  ///< on the issuer's clock

    bool operator==(const issued_key &) const = default;
};

/// \returns the key as callers send it
std::string print_issued_key(const issued_key &it);

/// \returns whether \a key claims to be issued by a node
bool is_issued_key(std::string_view key);

/// \returns the parts of an issued key, none when it is malformed
std::optional<issued_key> parse_issued_key(std::string_view key);

/// \returns the moment that a chosen key was made, when the key is a UUID of
/// version 7 (RFC 9562); none for any other key
std::optional<time_point> time_of_chosen_key(std::string_view key);

}  // namespace gullstall

#endif
