#ifndef GULLSTALL_MEMBERSHIP_MEMBER_TABLE_HPP
#define GULLSTALL_MEMBERSHIP_MEMBER_TABLE_HPP

#include <map>
#include <string>
#include <vector>

#include "gullstall/src/membership/member.hpp"

namespace gullstall {

/// All members that a node knows, its own included.
struct member_table
{
    std::map<std::string, member> members;  // by instance
};

/// Takes in news of a member.
/// \returns whether they were newer than what was known
bool learn_member(member_table &it, const member &news);

/// \returns the members of \a service that take new work: those alive, and
/// those suspected only when none is alive
std::vector<const member *> upstreams_of(const member_table &it, const std::string &service);

}  // namespace gullstall

#endif
