#ifndef GULLSTALL_MEMBERSHIP_MEMBER_HPP
#define GULLSTALL_MEMBERSHIP_MEMBER_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "gullstall/generated/wire_generated.h"
#include "gullstall/src/core/result.hpp"

namespace gullstall {

/// What is known of a node and its worker: the schema's member table.
using member = wire::member_message;

/// Prefix of the table's rows that name members.
inline constexpr const char *member_row_prefix = "member/";

/// \returns the value of the member's row in the table
std::string encode_member(const member &it);

/// Reads the value of a member's row, or bad_syntax.
result<member> decode_member(std::string_view bytes);

/// \returns whether \a a tells more recent news of the member than \a b:
/// a higher incarnation, then a higher version, then the graver state
bool is_newer(const member &a, const member &b);

}  // namespace gullstall

#endif
