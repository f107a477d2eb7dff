#ifndef GULLSTALL_MEMBERSHIP_HPP
#define GULLSTALL_MEMBERSHIP_HPP

/// Membership module: who is there, who leaves, who is gone.

#include "gullstall/src/membership/contact_rows.hpp"
#include "gullstall/src/membership/gossip.hpp"
#include "gullstall/src/membership/member.hpp"
#include "gullstall/src/membership/member_table.hpp"
#include "gullstall/src/membership/ring.hpp"

#endif
