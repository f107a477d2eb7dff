#ifndef GULLSTALL_MEMBERSHIP_MEMBER_HPP
#define GULLSTALL_MEMBERSHIP_MEMBER_HPP

#include <cstdint>
#include <string>

#include "gullstall/generated/wire_generated.h"

namespace gullstall {

/// What is known of a node and its worker: the schema's member table.
using member = wire::member_message;

/// Prefix of the table's rows that name members for first contact.
inline constexpr const char *member_row_prefix = "member/";

/// \returns whether \a a tells more recent news of the member than \a b:
/// a higher incarnation, then a higher version, then the graver state
bool is_newer(const member &a, const member &b);

}  // namespace gullstall

#endif
